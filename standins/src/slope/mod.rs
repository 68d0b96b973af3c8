//! Measures the cost of each mechanism at several sizes, and extrapolates it to the planned
//! size.

mod fit;
mod fleet_costs;
mod node_costs;
mod page;
mod scrape;
mod table;

pub use fit::{Fit, GrowthLaw};
pub use fleet_costs::{MeasureError, Phase, measure_fleet};
pub use node_costs::{measure_bundle, measure_claims, measure_handover, measure_requests};
pub use page::{PageError, refresh_page};
pub use scrape::Scrape;
pub use table::{Measurement, Table};
