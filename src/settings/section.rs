//! A checked reader of INI: every key is taken by name and type, the rest is an error.

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
    /// Reads a file.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { path: path.to_owned(), source })?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Parses a text; `file` names it in errors.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let file: Name = file.into();
        syntax::check(&file, text)?;
        // Quotes and backslashes are text: a path or a name means what it says.
        let literal =
            ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, literal).map_err(|e| SettingsError::Syntax {
            file: file.clone(),
            line: e.line,
            reason: e.msg.to_string(),
        })?;
        Ok(Self { file, ini })
    }

    /// The section of that name.
    pub fn section(&self, name: &str) -> Result<Section<'_>, SettingsError> {
        self.optional_section(name).ok_or_else(|| SettingsError::MissingSection {
            file: self.file.clone(),
            section: name.to_owned(),
        })
    }

    /// The section of that name, if it is there.
    pub fn optional_section(&self, name: &str) -> Option<Section<'_>> {
        let keys = self.ini.section(Some(name))?;
        Some(Section {
            file: self.file.clone(),
            name: name.to_owned(),
            keys,
            taken: RefCell::default(),
        })
    }

    /// The sections `[kind name]`, as (name, section).
    pub fn named_sections<'a>(
        &'a self,
        kind: &'a str,
    ) -> impl Iterator<Item = (Name, Section<'a>)> + 'a {
        self.ini.sections().flatten().filter_map(move |title| {
            let name = title.strip_prefix(kind)?.strip_prefix(' ')?.trim();
            Some((Name::from(name), self.optional_section(title)?))
        })
    }

    /// Checks that each section is one of `single`, or starts with a word of `many`.
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

/// One section. [`Section::finish`] fails on keys that nothing took.
#[derive(Debug)]
pub struct Section<'a> {
    file: Name,
    name: String,
    keys: &'a Properties,
    taken: RefCell<BTreeSet<String>>,
}

impl Section<'_> {
    /// The value of a key, if it is there.
    pub fn text(&self, key: &str) -> Option<&str> {
        self.taken.borrow_mut().insert(key.to_owned());
        self.keys.get(key).map(str::trim)
    }

    /// The value of a key that has to be there.
    pub fn required(&self, key: &str) -> Result<&str, SettingsError> {
        self.text(key).filter(|v| !v.is_empty()).ok_or_else(|| SettingsError::MissingKey {
            file: self.file.clone(),
            section: self.name.clone(),
            key: key.to_owned(),
        })
    }

    /// A value of any type that parses from text.
    pub fn value<T>(&self, key: &str) -> Result<T, SettingsError>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.required(key)?;
        text.parse().map_err(|e: T::Err| self.invalid_value(key, text, e.to_string()))
    }

    /// The same, with a default.
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

    /// A number within a range.
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

    /// A duration with a unit, such as `250ms` or `5s`.
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

    /// A list, separated by commas.
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

    /// A choice of a closed set.
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

    /// Every key and value, as they stand; for sections with free keys.
    pub fn entries(&self) -> Vec<(Name, &str)> {
        self.taken.borrow_mut().extend(self.keys.iter().map(|(key, _)| key.to_owned()));
        self.keys.iter().map(|(key, value)| (Name::from(key), value.trim())).collect()
    }

    /// The error for a section with too few entries.
    pub fn too_few(&self, found: usize, needed: usize) -> SettingsError {
        SettingsError::TooFewEntries {
            file: self.file.clone(),
            section: self.name.clone(),
            found,
            needed,
        }
    }

    /// The error for a value that does not do.
    pub fn invalid_value(&self, key: &str, value: &str, reason: String) -> SettingsError {
        SettingsError::InvalidValue {
            file: self.file.clone(),
            section: self.name.clone(),
            key: key.to_owned(),
            value: value.to_owned(),
            reason,
        }
    }

    /// Fails if the section has a key that nothing took.
    pub fn finish(self) -> Result<(), SettingsError> {
        let taken = self.taken.into_inner();
        let unknown = self.keys.iter().map(|(key, _)| key).find(|key| !taken.contains(*key));
        match unknown {
            None => Ok(()),
            Some(key) => Err(SettingsError::UnknownKey {
                file: self.file,
                section: self.name,
                key: key.to_owned(),
                known: taken.into_iter().collect::<Vec<_>>().join(", "),
            }),
        }
    }
}
