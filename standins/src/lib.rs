//! Small stand-ins for the systems around mulberrycourse: real sockets, and
//! faults on order. They speak the published protocols and nothing more.

pub mod caller;
pub mod daemon;
pub mod engine;
pub mod experiment;
pub mod fleet;
pub mod gate;
pub mod plain;
pub mod platform;
pub mod rollout;
pub mod server;
pub mod slope;
pub mod trainer;
pub mod weights;
