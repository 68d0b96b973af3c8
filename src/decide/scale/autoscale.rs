//! The limits within which operators allow replicas to be ordered.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Name;

/// The autoscaling limits of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct Autoscale {
    /// Name of the service.
    pub service: Name,
    /// Minimum number of replicas in each availability zone.
    pub min: u32,
    /// Maximum number of replicas in each availability zone.
    pub max: u32,
    /// How long a new replica takes until it serves.
    pub boot_time: Duration,
    /// Whether to order spot replicas, which cost less and may be taken back at short notice.
    pub spot: bool,
    /// The price of a replica, by availability zone. Nothing is ordered in other zones.
    pub prices: BTreeMap<Name, f64>,
}

/// Why limits can't be used; nothing is ordered for the service then.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum AutoscaleFault {
    /// The minimum is larger than the maximum.
    #[error("the minimum of {0} replicas exceeds the maximum of {1}")]
    Limits(u32, u32),
    /// No availability zone has a price.
    #[error("no availability zone has a price")]
    NoZone,
    /// The price in an availability zone is negative or not finite.
    #[error("the price in availability zone {0:?} is {1}, expected a finite number of at least 0")]
    Price(Name, f64),
}

impl Autoscale {
    /// Returns the limits unchanged if they can be used, otherwise the first fault.
    pub fn checked(self) -> Result<Self, AutoscaleFault> {
        if self.max < self.min {
            return Err(AutoscaleFault::Limits(self.min, self.max));
        }
        if self.prices.is_empty() {
            return Err(AutoscaleFault::NoZone);
        }
        let bad = self.prices.iter().find(|(_, price)| !price.is_finite() || **price < 0.0);
        match bad {
            Some((zone, price)) => Err(AutoscaleFault::Price(zone.clone(), *price)),
            None => Ok(self),
        }
    }
}
