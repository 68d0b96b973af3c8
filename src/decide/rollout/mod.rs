//! Weight rollout: which engine is ordered to the wanted version, and when.
//!
//! Load pattern: every few minutes all engines need new weights at once. Swapping
//! engines serve nobody and the weight store hands out only so many versions a
//! second. Ordered all at once, the fleet stops and the store refuses; ordered by
//! a leader, the rollout stops with the leader.
//!
//! No node leads. Every engine has an owner among the nodes, by rendezvous hash.
//! The engines of a service stand in a fixed number of chains ([`Chains`]), and in
//! each chain one swaps at a time, in order: as many swap at once as there are
//! chains, whoever owns them, and nothing has to be agreed. An order states the
//! wanted end state with the bundle's number as the fencing number, so that two
//! owners who both think they are one do no harm.

mod chains;
mod engine;
mod rollout;
mod store_share;

pub use chains::Chains;
pub use engine::{Sight, Stage, Wanted};
pub use rollout::{Cause, Rollout, Turn};
pub use store_share::StoreShare;
