//! The schedule of a graceful stop, and the requests that a stopping node still sends to replicas.
//!
//! Load pattern: nodes are restarted one after the other under streams that last for seconds, and
//! clients go on connecting to a stopping node while their cached address lists are valid. A node
//! that exits on a schedule of its own breaks off streams that would have ended within the grace
//! period. One that starts whatever arrives breaks off streams that another node could have served.

use std::time::Duration;

use crate::Moment;

/// How many times the time to live of an address list some clients cache it for.
const CLIENT_CACHE_FACTOR: u32 = 3;
/// Extra time for a connection that a client opens just before its address list expires.
const CONNECT_MARGIN: Duration = Duration::from_millis(200);
/// The handover of jobs and the deregistration may take this part of the grace period: one
/// quarter, which allows for two calls that are not answered.
const HANDOVER_GRACE_DIVISOR: u32 = 4;
/// Part of the grace period after which the listeners close in any case.
const LISTEN_GRACE_DIVISOR: u32 = 2;
/// Time kept for the exit of the process, which sends what is left to other nodes.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// The most of the grace period that [`EXIT_MARGIN`] may take.
const EXIT_GRACE_DIVISOR: u32 = 10;
/// The part of that margin that remains for the end of the process itself.
const END_MARGIN_DIVISOR: u32 = 2;
/// A request that arrives later than this is only sent if its time limit ends before the node does:
/// clients that send it have had the time to learn of other nodes.
const LATE_REQUEST_AGE: Duration = Duration::from_millis(2_800);

/// The schedule of a graceful stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    /// When the stop was requested.
    began: Moment,
    /// How long the process may take to stop.
    grace: Duration,
    /// The time to live of address lists.
    address_ttl: Duration,
}

/// A request that arrived at a stopping node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoppingRequest {
    /// When the whole request had arrived.
    pub received_at: Moment,
    /// When its client stops waiting.
    pub deadline: Moment,
    /// How long such requests usually take; none if that is not known.
    pub usual_time: Option<Duration>,
}

/// Whether a stopping node sends a request to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopDecision {
    /// It is sent: its time limit ends before the node does.
    Send,
    /// It is sent to a replica with a free slot, where it is expected to end before the node does.
    /// How long it would wait for one is not known.
    SendToFree,
    /// It is refused.
    Refuse,
}

impl StopPlan {
    /// The schedule of a stop that begins now.
    pub fn new(now: Moment, grace: Duration, address_ttl: Duration) -> Self {
        Self { began: now, grace, address_ttl }
    }

    /// Returns how long the handover of jobs and the deregistration may take.
    pub fn handover_timeout(&self) -> Duration {
        self.grace / HANDOVER_GRACE_DIVISOR
    }

    /// Returns when the listeners close, if the node left the address lists at `unlisted_at`.
    pub fn closes_at(&self, unlisted_at: Moment) -> Moment {
        let expired = unlisted_at + self.address_ttl * CLIENT_CACHE_FACTOR + CONNECT_MARGIN;
        let latest = self.began + self.grace / LISTEN_GRACE_DIVISOR + CONNECT_MARGIN;
        expired.min(latest).min(self.ends_at())
    }

    /// Returns when open requests are broken off.
    pub fn ends_at(&self) -> Moment {
        self.began + self.grace - self.exit_margin()
    }

    /// Returns when the process exits, whatever is left.
    pub fn exits_at(&self) -> Moment {
        self.began + self.grace - self.exit_margin() / END_MARGIN_DIVISOR
    }

    fn exit_margin(&self) -> Duration {
        EXIT_MARGIN.min(self.grace / EXIT_GRACE_DIVISOR)
    }

    /// Decides whether a request is sent to a replica now.
    pub fn decide(&self, request: &StoppingRequest, now: Moment) -> StopDecision {
        if request.deadline <= self.ends_at() {
            return StopDecision::Send;
        }
        let late = request.received_at > self.began + LATE_REQUEST_AGE;
        if !late && request.usual_time.is_some_and(|time| now + time <= self.ends_at()) {
            StopDecision::SendToFree
        } else {
            StopDecision::Refuse
        }
    }
}
