//! Measures what each mechanism costs at several sizes, and what that comes to at
//! the planned size.

mod daemon;
mod fit;
mod measure;
mod nodes;
mod page;
mod serving;

pub use daemon::{Daemon, DaemonError, Scrape};
pub use fit::{Fit, Law};
pub use measure::{Measure, Table};
pub use nodes::{Phase, fleet};
pub use page::{PageError, refresh};
pub use serving::{bundle, claims, entry, handover};
