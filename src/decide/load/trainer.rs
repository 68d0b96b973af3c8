//! Who competes for the slots of a service.

use serde::{Deserialize, Serialize};

use crate::Name;

/// Weight of the most urgent priority class.
const MAX_WEIGHT: u32 = 1_000;
/// The weight of a priority class is four fifths of that of the next more urgent one. The worst
/// kind of request may score 0.05 less than the mean. At a factor of two, a trainer of priority 1
/// with a quarter of the demand of three trainers would get a fifth of the slots.
const WEIGHT_NUMERATOR: u32 = 4;
/// See [`WEIGHT_NUMERATOR`].
const WEIGHT_DENOMINATOR: u32 = 5;
/// Largest priority value, that is the lowest priority, of the protocol.
const MAX_PRIORITY: u8 = 9;

/// A trainer: all samples of one model at one service that one organisation submitted.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Trainer {
    /// The service.
    pub service: Name,
    /// The model; none if any replica of the service will do.
    pub model: Option<Name>,
    /// The organisation; none if the samples came without a key.
    pub organisation: Option<Name>,
}

impl Trainer {
    /// Returns the weight of a priority class; 0 is the most urgent class. No weight is 0, so
    /// every class keeps a minimum.
    pub fn weight(priority: u8) -> u32 {
        let level = u32::from(priority.min(MAX_PRIORITY));
        let numerator = u64::from(MAX_WEIGHT) * u64::from(WEIGHT_NUMERATOR.pow(level));
        (numerator / u64::from(WEIGHT_DENOMINATOR.pow(level))) as u32
    }
}
