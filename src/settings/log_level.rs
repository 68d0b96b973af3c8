//! The `[log]` section, which all programs share.

use super::{Section, SettingsError};

/// Reads `[log] level`: a filter such as `info` or `mulberrycourse=debug`.
pub(super) fn log_level(section: Section<'_>) -> Result<String, SettingsError> {
    let level = section.text("level").unwrap_or("info").to_owned();
    crate::logs::check_filter(&level)
        .map_err(|e| section.invalid_value("level", &level, e.reason))?;
    section.finish()?;
    Ok(level)
}
