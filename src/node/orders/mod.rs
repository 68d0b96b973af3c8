//! The rollout of weight versions: this node polls the engines that it owns, and orders them to
//! load the version that the bundle asks for.

mod engine_state;
mod rollout_loop;
mod rollouts;

pub use engine_state::EngineState;
pub(super) use engine_state::engine_states;
pub(super) use rollout_loop::run_rollouts;
pub(super) use rollouts::Rollouts;
