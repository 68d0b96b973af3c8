//! A strict look at the lines of an INI text, before the parser reads it.
//!
//! INI has many dialects. The parser here joins lines that end in `\`, takes a line
//! without `=` as the start of the next key, and keeps the first of two equal keys.
//! Each would change what an operator wrote without a word, so each is an error:
//! one key a line, every section and key once, comments on lines of their own.

use std::collections::BTreeSet;

use super::SettingsError;
use crate::Name;

/// Checks every line of a text.
pub(super) fn check(file: &Name, text: &str) -> Result<(), SettingsError> {
    let mut sections = BTreeSet::new();
    let mut keys = BTreeSet::new();
    let mut section = String::new();
    for (index, line) in text.lines().enumerate() {
        let fail =
            |reason: String| SettingsError::Syntax { file: file.clone(), line: index + 1, reason };
        plain(line).map_err(fail)?;
        let trimmed = line.trim();
        if trimmed.is_empty() || line.starts_with([';', '#']) {
            continue;
        }
        if let Some(title) = trimmed.strip_prefix('[') {
            section = self::title(title).map_err(fail)?;
            keys.clear();
            if !sections.insert(section.clone()) {
                return Err(fail(format!("section [{section}] is there a second time")));
            }
            continue;
        }
        let key = key(trimmed).map_err(|r| fail(format!("[{section}]: {r}")))?;
        if section.is_empty() {
            return Err(fail(format!("key {key} stands before the first section")));
        }
        if !keys.insert(key.to_owned()) {
            return Err(fail(format!("[{section}] {key} is there a second time")));
        }
    }
    Ok(())
}

fn plain(line: &str) -> Result<(), String> {
    if line.chars().any(|c| c.is_control() && c != '\t') {
        return Err("a control character".to_owned());
    }
    if line.ends_with('\\') {
        return Err("a line can't go on in the next one".to_owned());
    }
    Ok(())
}

fn title(rest: &str) -> Result<String, String> {
    let title = rest.strip_suffix(']').ok_or("expected nothing after the section's ]")?.trim();
    if title.is_empty() || title.contains(['[', ']']) {
        return Err("expected [SECTION] or [KIND NAME]".to_owned());
    }
    Ok(title.to_owned())
}

fn key(line: &str) -> Result<&str, String> {
    let (key, value) = line.split_once('=').ok_or("expected KEY = VALUE")?;
    let (key, value) = (key.trim(), value.trim());
    if key.is_empty() || key.contains([':', '[', ']', ';', '#', '\\']) {
        return Err(format!("{key:?} is no key"));
    }
    let comment = |mark: &str| value.starts_with(&mark[1..]) || value.contains(mark);
    if [" ;", " #", "\t;", "\t#"].iter().any(|mark| comment(mark)) {
        return Err(format!("{key}: a comment stands on a line of its own"));
    }
    Ok(key)
}
