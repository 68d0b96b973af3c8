//! INI settings of a process: typed, and every key checked before anything binds.

mod entry;
mod error;
mod node;
mod section;
mod syntax;

pub use entry::EntrySettings;
pub use error::SettingsError;
pub use node::{
    ConnectionSettings, DrainSettings, NodeSettings, PeerSettings, PlatformSettings, Settings,
};
pub use section::{Document, Section};
