//! Replicas are ordered where the samples of steps want more places than there are.

mod order;
mod wanted;

pub(super) use order::scale;
pub(super) use wanted::{Wanted, WantedPlace};
