//! mulberrycourse: a rollout service for reinforcement learning.
//!
//! Trainers get complete, fresh and correctly labelled sample groups; live
//! callers get complete and timely responses from the same engines. The decision logic
//! is in [`decide`], which does no I/O. [`node`] and [`entry`] are the two kinds of process that
//! run it: nodes replicate state among themselves, entry nodes keep all lasting state in a
//! key-value store.

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

/// A cheaply cloned, immutable name of a service, caller, trainer, VM or zone.
pub type Name = Arc<str>;

/// A point in time, as the duration since the process's clock started.
pub type Moment = std::time::Duration;
