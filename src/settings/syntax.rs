//! A strict check of the lines of an INI text, before the parser reads it.
//!
//! INI has many dialects. The parser used here joins lines that end in `\`, takes a line
//! without `=` as the start of the next key, and keeps the first of two equal keys.
//! Each of these would silently change what an operator wrote, so each is an error. A line
//! has one key, each section and key occurs once, and comments are on lines of their own.

use std::collections::BTreeSet;

use super::SettingsError;
use crate::Name;

/// Checks every line of a text. `file` names it in errors.
pub(super) fn check(file: &Name, text: &str) -> Result<(), SettingsError> {
    let mut sections = BTreeSet::new();
    let mut keys = BTreeSet::new();
    let mut section = String::new();
    for (index, line) in text.lines().enumerate() {
        let fail =
            |reason: String| SettingsError::Syntax { file: file.clone(), line: index + 1, reason };
        check_characters(line).map_err(fail)?;
        let trimmed = line.trim();
        if trimmed.is_empty() || line.starts_with([';', '#']) {
            continue;
        }
        if let Some(title) = trimmed.strip_prefix('[') {
            section = parse_title(title).map_err(fail)?;
            keys.clear();
            if !sections.insert(section.clone()) {
                return Err(fail(format!("section [{section}] is defined twice")));
            }
            continue;
        }
        let key = parse_key(trimmed).map_err(|r| fail(format!("[{section}]: {r}")))?;
        if section.is_empty() {
            return Err(fail(format!("key {key} is before the first section")));
        }
        if !keys.insert(key.to_owned()) {
            return Err(fail(format!("[{section}] {key} is defined twice")));
        }
    }
    Ok(())
}

/// Rejects control characters and line continuations.
fn check_characters(line: &str) -> Result<(), String> {
    if line.chars().any(|c| c.is_control() && c != '\t') {
        return Err("control characters are not allowed".to_owned());
    }
    if line.ends_with('\\') {
        return Err("a line can't continue on the next one".to_owned());
    }
    Ok(())
}

/// Returns the name in a section header; `rest` is the line after its `[`.
fn parse_title(rest: &str) -> Result<String, String> {
    let title = rest.strip_suffix(']').ok_or("expected nothing after the section's ]")?.trim();
    if title.is_empty() || title.contains(['[', ']']) {
        return Err("expected [SECTION] or [KIND NAME]".to_owned());
    }
    Ok(title.to_owned())
}

/// Returns the key of a `KEY = VALUE` line.
fn parse_key(line: &str) -> Result<&str, String> {
    let (key, value) = line.split_once('=').ok_or("expected KEY = VALUE")?;
    let (key, value) = (key.trim(), value.trim());
    if key.is_empty() || key.contains([':', '[', ']', ';', '#', '\\']) {
        return Err(format!("{key:?} is not a valid key"));
    }
    let comment = |mark: &str| value.starts_with(&mark[1..]) || value.contains(mark);
    if [" ;", " #", "\t;", "\t#"].iter().any(|mark| comment(mark)) {
        return Err(format!("{key}: a comment must be on a line of its own"));
    }
    Ok(key)
}
