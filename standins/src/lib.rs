//! Small stand-ins for the systems around mulberrycourse: real sockets, and
//! faults on order. They speak the published protocols and nothing more. [`kv`] and
//! [`replicas`] stand behind the library's ports, for tests on a paused clock.

pub mod caller;
pub mod daemon;
pub mod duties;
pub mod engine;
pub mod experiment;
pub mod fleet;
pub mod gate;
pub mod kv;
pub mod plain;
pub mod platform;
pub mod replicas;
pub mod rollout;
pub mod server;
pub mod slope;
pub mod trainer;
pub mod weights;
