//! Orders to engines: looks at them, and brings them to the wanted version.

mod follow;
mod orders;
mod state;

pub(super) use follow::follow;
pub(super) use orders::Orders;
pub use state::EngineState;
pub(super) use state::states;
