//! Measures what each mechanism costs at several sizes, and what that comes to at
//! the planned size.

mod fit;
mod measure;
mod nodes;
mod page;
mod scrape;
mod serving;

pub use fit::{Fit, Law};
pub use measure::{Measure, Table};
pub use nodes::{NodesError, Phase, fleet};
pub use page::{PageError, refresh};
pub use scrape::Scrape;
pub use serving::{bundle, claims, entry, handover};
