//! mulberrycourse: a rollout service for reinforcement learning.
//!
//! Trainers get complete, fresh and correctly labelled sample groups; live
//! callers get whole and timely answers from the same engines. The decisions
//! stand in [`decide`], pure and without I/O; [`node`] and [`entry`] are the shells around them: the first where
//! nodes talk to each other, the second where a store holds all that lasts.

pub mod bundle;
pub mod cli;
pub mod client;
pub mod decide;
pub mod edge;
pub mod entry;
pub mod error;
pub mod logs;
pub mod metrics;
pub mod node;
pub mod settings;

use std::sync::Arc;

/// A shared immutable name: of a service, caller, trainer, VM or zone.
pub type Name = Arc<str>;

/// A moment, as the time since the process's clock started.
pub type Moment = std::time::Duration;
