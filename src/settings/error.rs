//! What is wrong with a settings file or a bundle.

use std::path::PathBuf;

use crate::Name;

/// Why an INI text was not taken. Each names the file, the section and the key.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// The text is not INI.
    #[error("{file}:{line}: {reason}")]
    Syntax {
        /// The file.
        file: Name,
        /// Line number, from 1.
        line: usize,
        /// What is wrong.
        reason: String,
    },
    /// A section that has to be there is not.
    #[error("{file}: section [{section}] is missing")]
    MissingSection {
        /// The file.
        file: Name,
        /// The section.
        section: String,
    },
    /// A section that nothing reads.
    #[error("{file}: section [{section}] is unknown; known are: {known}")]
    UnknownSection {
        /// The file.
        file: Name,
        /// The section.
        section: String,
        /// What there could be.
        known: String,
    },
    /// A key that has to be there is not.
    #[error("{file}: [{section}] {key} is missing")]
    MissingKey {
        /// The file.
        file: Name,
        /// The section.
        section: String,
        /// The key.
        key: String,
    },
    /// A section with free keys has too few of them.
    #[error("{file}: [{section}] has {found} entries; at least {needed} are needed")]
    TooFewEntries {
        /// The file.
        file: Name,
        /// The section.
        section: String,
        /// How many there are.
        found: usize,
        /// How many have to be there.
        needed: usize,
    },
    /// A key that nothing reads.
    #[error("{file}: [{section}] {key} is unknown; known are: {known}")]
    UnknownKey {
        /// The file.
        file: Name,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// What there could be.
        known: String,
    },
    /// A value that does not do.
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
        /// What is expected.
        reason: String,
    },
}
