//! A key-value service in memory, behind the library's port, with faults on order.

mod line;
mod state;
mod words;

pub use line::{Away, Faults, KvLine, KvService};
pub use words::Words;
