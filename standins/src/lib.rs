//! Small stand-ins for the systems around mulberrycourse. They listen on real sockets, speak only
//! the published protocols and inject faults on request. [`kv`], [`duties`] and [`replicas`]
//! implement the library's traits in memory instead, for tests on a paused clock.

pub mod caller;
pub mod daemon;
pub mod duties;
pub mod engine;
pub mod experiment;
pub mod fleet;
pub mod kv;
pub mod misbehaving;
pub mod plain;
pub mod platform;
pub mod proxy;
pub mod replicas;
pub mod rollout;
pub mod server;
pub mod slope;
pub mod trainer;
pub mod weights;
