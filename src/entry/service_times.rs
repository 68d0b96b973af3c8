//! How long the requests to each service take, from their arrival to the end of their response.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;

use crate::Name;
use crate::decide::load::RequestTimes;

/// The kinds of responses, whose times differ widely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ResponseKind {
    /// A response that is forwarded when it is complete.
    Whole,
    /// A stream of events.
    Stream,
}

/// The times of the requests to one service.
#[derive(Debug, Default)]
struct TimesByKind {
    whole: RequestTimes,
    streams: RequestTimes,
}

/// The times of the requests to all services.
#[derive(Debug, Default)]
pub(super) struct ServiceTimes {
    services: Mutex<HashMap<Name, TimesByKind>>,
}

impl ServiceTimes {
    /// Records the time of a request that was answered completely.
    pub(super) fn record(&self, service: &Name, kind: ResponseKind, time: Duration) {
        let mut services = self.services.lock();
        let times = services.entry(service.clone()).or_default();
        match kind {
            ResponseKind::Whole => times.whole.record(time),
            ResponseKind::Stream => times.streams.record(time),
        }
    }

    /// Returns how long requests to a service usually take; none if that is not known.
    pub(super) fn usual(&self, service: &str, kind: ResponseKind) -> Option<Duration> {
        let services = self.services.lock();
        let times = services.get(service)?;
        match kind {
            ResponseKind::Whole => times.whole.usual(),
            ResponseKind::Stream => times.streams.usual(),
        }
    }
}
