//! The edge to what operators, trainers and replicas leave in the store, in words of their own.

mod notice;

pub use notice::{Notice, Notices};
