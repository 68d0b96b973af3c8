//! Errors in a settings file or a bundle.

use std::path::PathBuf;

use crate::Name;

/// Why an INI text is invalid. Each error names the file and, where they apply, the section and key.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// A line is not valid in the INI dialect accepted here.
    #[error("{file}:{line}: {reason}")]
    Syntax {
        /// The file.
        file: Name,
        /// The line number, from 1.
        line: usize,
        /// Why the line is invalid.
        reason: String,
    },
    /// A required section is missing.
    #[error("{file}: section [{section}] is missing")]
    MissingSection {
        /// The file.
        file: Name,
        /// The section.
        section: String,
    },
    /// A section is not one of the known ones.
    #[error("{file}: section [{section}] is unknown; known are: {known}")]
    UnknownSection {
        /// The file.
        file: Name,
        /// The section.
        section: String,
        /// The known sections.
        known: String,
    },
    /// A required key is missing or empty.
    #[error("{file}: [{section}] {key} is missing")]
    MissingKey {
        /// The file.
        file: Name,
        /// The section.
        section: String,
        /// The key.
        key: String,
    },
    /// A section with free keys has too few entries.
    #[error("{file}: [{section}] has {found} entries; at least {needed} are needed")]
    TooFewEntries {
        /// The file.
        file: Name,
        /// The section.
        section: String,
        /// The number of entries.
        found: usize,
        /// The smallest allowed number of entries.
        needed: usize,
    },
    /// A key is not one of the known ones.
    #[error("{file}: [{section}] {key} is unknown; known are: {known}")]
    UnknownKey {
        /// The file.
        file: Name,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The known keys.
        known: String,
    },
    /// A value does not parse or is out of bounds.
    #[error("{file}: [{section}] {key} = {value}: {reason}")]
    InvalidValue {
        /// The file.
        file: Name,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// Why it is invalid, or what is expected.
        reason: String,
    },
}
