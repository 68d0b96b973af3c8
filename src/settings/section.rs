//! A strict reader of INI: each key is read by name and type, and unknown keys are errors.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use ini::{Ini, ParseOption, Properties};

use super::{SettingsError, syntax};
use crate::Name;

/// A parsed INI text.
#[derive(Debug)]
pub struct Document {
    file: Name,
    ini: Ini,
}

impl Document {
    /// Reads and parses a file.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { path: path.to_owned(), source })?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Parses a text; `file` names it in errors.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let file: Name = file.into();
        syntax::check(&file, text)?;
        // Quotes and backslashes are literal, so that paths and names are read as written.
        let literal =
            ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, literal).map_err(|e| SettingsError::Syntax {
            file: file.clone(),
            line: e.line,
            reason: e.msg.to_string(),
        })?;
        Ok(Self { file, ini })
    }

    /// Returns the section `name`; an error if it is missing.
    pub fn section(&self, name: &str) -> Result<Section<'_>, SettingsError> {
        self.optional_section(name).ok_or_else(|| SettingsError::MissingSection {
            file: self.file.clone(),
            section: name.to_owned(),
        })
    }

    /// Returns the section `name`, if it exists.
    pub fn optional_section(&self, name: &str) -> Option<Section<'_>> {
        let keys = self.ini.section(Some(name))?;
        Some(Section {
            file: self.file.clone(),
            name: name.to_owned(),
            keys,
            read_keys: RefCell::default(),
        })
    }

    /// Returns the sections `[kind NAME]`, as (NAME, section).
    pub fn named_sections<'a>(
        &'a self,
        kind: &'a str,
    ) -> impl Iterator<Item = (Name, Section<'a>)> + 'a {
        self.ini.sections().flatten().filter_map(move |title| {
            let name = title.strip_prefix(kind)?.strip_prefix(' ')?.trim();
            Some((Name::from(name), self.optional_section(title)?))
        })
    }

    /// Checks that the title of each section is one of `single`, or `KIND NAME` with a kind of `many`.
    pub fn check_sections(&self, single: &[&str], many: &[&str]) -> Result<(), SettingsError> {
        for title in self.ini.sections().flatten() {
            let word = title.split_once(' ').map(|(word, _)| word);
            let known = single.contains(&title) || word.is_some_and(|w| many.contains(&w));
            if !known {
                let mut names: Vec<String> = single.iter().map(|s| (*s).to_owned()).collect();
                names.extend(many.iter().map(|m| format!("{m} NAME")));
                return Err(SettingsError::UnknownSection {
                    file: self.file.clone(),
                    section: title.to_owned(),
                    known: names.join(", "),
                });
            }
        }
        Ok(())
    }
}

/// One section of a document. [`Section::finish`] fails on keys that were never read.
#[derive(Debug)]
pub struct Section<'a> {
    file: Name,
    name: String,
    keys: &'a Properties,
    read_keys: RefCell<BTreeSet<String>>,
}

impl Section<'_> {
    /// Returns the value of a key, if it is present, without surrounding whitespace.
    pub fn text(&self, key: &str) -> Option<&str> {
        self.read_keys.borrow_mut().insert(key.to_owned());
        self.keys.get(key).map(str::trim)
    }

    /// Returns the value of a required key, which must not be empty.
    pub fn required(&self, key: &str) -> Result<&str, SettingsError> {
        self.text(key).filter(|v| !v.is_empty()).ok_or_else(|| SettingsError::MissingKey {
            file: self.file.clone(),
            section: self.name.clone(),
            key: key.to_owned(),
        })
    }

    /// Parses the value of a required key.
    pub fn value<T>(&self, key: &str) -> Result<T, SettingsError>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.required(key)?;
        text.parse().map_err(|e: T::Err| self.invalid_value(key, text, e.to_string()))
    }

    /// Parses the value of a key, or returns `default` if the key is absent.
    pub fn value_or<T>(&self, key: &str, default: T) -> Result<T, SettingsError>
    where
        T: FromStr,
        T::Err: Display,
    {
        match self.text(key) {
            Some(_) => self.value(key),
            None => Ok(default),
        }
    }

    /// Parses a number and checks that it is in `range`.
    pub fn in_range<T>(
        &self,
        key: &str,
        range: RangeInclusive<T>,
        default: T,
    ) -> Result<T, SettingsError>
    where
        T: FromStr + PartialOrd + Display,
        T::Err: Display,
    {
        let value = self.value_or(key, default)?;
        if range.contains(&value) {
            return Ok(value);
        }
        let reason = format!("expected {} to {}", range.start(), range.end());
        Err(self.invalid_value(key, &value.to_string(), reason))
    }

    /// Parses a duration with a unit, such as `250ms` or `5s`.
    pub fn duration(&self, key: &str, default: Duration) -> Result<Duration, SettingsError> {
        let Some(text) = self.text(key) else { return Ok(default) };
        humantime::parse_duration(text).map_err(|e| {
            self.invalid_value(
                key,
                text,
                format!("{e}; expected a number with a unit, such as 250ms or 5s"),
            )
        })
    }

    /// Parses a comma-separated list; an absent key is an empty list.
    pub fn list<T>(&self, key: &str) -> Result<Vec<T>, SettingsError>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.text(key).unwrap_or_default();
        let items = text.split(',').map(str::trim).filter(|i| !i.is_empty());
        items
            .map(|i| i.parse().map_err(|e: T::Err| self.invalid_value(key, i, e.to_string())))
            .collect()
    }

    /// Returns the value in `set` that belongs to the word given for the key.
    pub fn choice<T: Copy>(
        &self,
        key: &str,
        set: &[(&str, T)],
        default: T,
    ) -> Result<T, SettingsError> {
        let Some(text) = self.text(key) else { return Ok(default) };
        let found = set.iter().find(|(word, _)| *word == text).map(|(_, value)| *value);
        found.ok_or_else(|| {
            let words: Vec<&str> = set.iter().map(|(word, _)| *word).collect();
            self.invalid_value(key, text, format!("expected one of: {}", words.join(", ")))
        })
    }

    /// Returns every key with its unparsed value, for sections with free keys.
    pub fn entries(&self) -> Vec<(Name, &str)> {
        self.read_keys.borrow_mut().extend(self.keys.iter().map(|(key, _)| key.to_owned()));
        self.keys.iter().map(|(key, value)| (Name::from(key), value.trim())).collect()
    }

    /// Returns the error for a section with too few entries.
    pub fn too_few(&self, found: usize, needed: usize) -> SettingsError {
        SettingsError::TooFewEntries {
            file: self.file.clone(),
            section: self.name.clone(),
            found,
            needed,
        }
    }

    /// Returns the error for an invalid value.
    pub fn invalid_value(&self, key: &str, value: &str, reason: String) -> SettingsError {
        SettingsError::InvalidValue {
            file: self.file.clone(),
            section: self.name.clone(),
            key: key.to_owned(),
            value: value.to_owned(),
            reason,
        }
    }

    /// Fails if the section has a key that was never read.
    pub fn finish(self) -> Result<(), SettingsError> {
        let known = self.read_keys.into_inner();
        let unknown = self.keys.iter().map(|(key, _)| key).find(|key| !known.contains(*key));
        match unknown {
            None => Ok(()),
            Some(key) => Err(SettingsError::UnknownKey {
                file: self.file,
                section: self.name,
                key: key.to_owned(),
                known: known.into_iter().collect::<Vec<_>>().join(", "),
            }),
        }
    }
}
