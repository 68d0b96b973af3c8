//! Typed settings of a process, read from INI. Every key is validated before any address is bound.

mod entry;
mod error;
mod limits;
mod log_level;
mod node;
mod section;
mod syntax;

pub use entry::EntrySettings;
pub use error::SettingsError;
pub use node::{
    ConnectionSettings, DrainSettings, NodeSettings, PeerSettings, PlatformSettings, Settings,
};
pub use section::{Document, Section};
