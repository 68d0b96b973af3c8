//! What operators allow to be ordered.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Name;

/// The limits of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct Autoscale {
    /// The service.
    pub service: Name,
    /// The fewest replicas in each availability zone.
    pub least: u32,
    /// The most.
    pub most: u32,
    /// How long a new replica takes until it serves.
    pub boot: Duration,
    /// Whether replicas are to be had for less that may be taken back at short notice.
    pub spot: bool,
    /// The price of a replica, by availability zone. Others have none of its replicas.
    pub prices: BTreeMap<Name, f64>,
}

/// Limits that can't be used: nothing is ordered for the service.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum AutoscaleFault {
    /// There is no number between the limits.
    #[error("at least {0} and at most {1} replicas")]
    Limits(u32, u32),
    /// No availability zone has a price.
    #[error("no availability zone has a price")]
    NoZone,
    /// A price is not one.
    #[error("the price in {0:?} is {1}")]
    Price(Name, f64),
}

impl Autoscale {
    /// The same, if it can be used.
    pub fn checked(self) -> Result<Self, AutoscaleFault> {
        if self.most < self.least {
            return Err(AutoscaleFault::Limits(self.least, self.most));
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
