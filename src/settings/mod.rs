//! INI settings of a process: typed, and every key checked before anything binds.

mod entry;
mod invalid;
mod lines;
mod node;
mod section;

pub use entry::EntrySettings;
pub use invalid::Invalid;
pub use node::{Connections, Drain, NodeSettings, Peers, PlatformSettings, Settings};
pub use section::{Document, Section};
