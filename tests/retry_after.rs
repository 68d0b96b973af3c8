//! Tests of the delay after which refused clients retry.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use mulberrycourse::decide::retry_after::{DEFAULT_RETRY_AFTER, retry_after};
use proptest::prelude::*;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns how often a client that keeps to the delays tries until its timeout, and whether it is
/// served.
fn tries(outage: Duration, timeout: Duration) -> (u32, bool) {
    let (mut at, mut count) = (ms(0), 0);
    while at < timeout {
        count += 1;
        if at >= outage {
            return (count, true);
        }
        at += retry_after(Some(at), count * 317);
    }
    (count, false)
}

#[test]
fn without_an_outage_clients_retry_soon() {
    assert_eq!(retry_after(None, 7), DEFAULT_RETRY_AFTER);
}

/// Guards against a fixed delay of 0.1 s, with which a client made 60 tries in an outage of six
/// seconds.
#[test]
fn clients_make_few_tries_in_an_outage_and_are_served_soon_after_it() {
    for outage in [200, 700, 2_000, 4_000, 6_000] {
        let (count, served) = tries(ms(outage), ms(outage + 1_250));
        assert!(served, "an outage of {outage} ms");
        assert!(count <= 11, "{count} tries in {outage} ms");
    }
}

proptest! {
    /// Clients that are refused at the same moment do not retry at the same moment.
    #[test]
    fn clients_are_spread(outage in 0_u64..20_000, draws in proptest::collection::vec(0_u32..1_000, 20)) {
        let delays: Vec<Duration> = draws.iter().map(|d| retry_after(Some(ms(outage)), *d)).collect();
        let (least, most) = (delays.iter().min().unwrap(), delays.iter().max().unwrap());
        prop_assert!(*least >= ms(250) && *most <= ms(1_250));
        let distance = draws.iter().max().unwrap() - draws.iter().min().unwrap();
        prop_assert!(*most - *least >= *least * distance / 8_000);
    }
}
