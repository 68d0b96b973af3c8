//! Weight rollout: which engine is ordered to switch to the target version, and when.
//!
//! Load pattern: every few minutes all engines need new weights at once. Engines that swap
//! weights serve nobody, and the weight store hands out only so many versions a second. If
//! all engines are ordered at once, the fleet stops and the store refuses; if a leader gives
//! the orders, the rollout stops when the leader fails.
//!
//! There is no leader. Every engine has an owner among the nodes, by rendezvous hash. The
//! engines of a service are divided into a fixed number of chains ([`SwapChains`]), and in
//! each chain one engine swaps at a time, in order: at most as many engines swap at once as
//! there are chains, whoever owns them, without agreement between the nodes. An order states
//! the target state with the bundle's number as fencing token, so that two nodes that both
//! consider themselves the owner do no harm.

mod chains;
mod engine;
mod load_budget;
mod rollout;

pub use chains::SwapChains;
pub use engine::{EngineObservation, RolloutStage, TargetWeights};
pub use load_budget::WeightLoadBudget;
pub use rollout::{OrderDecision, OrderReason, Rollout};
