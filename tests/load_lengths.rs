//! Samples of very different lengths on an upstream of a steady pace: their lengths are no
//! sign that it is slow.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use mulberrycourse::decide::{
    AttemptOutcome, AttemptReport, Call, Class, Dispatch, DispatchAction, Repeat, ServiceLimits,
    Ticket, UpstreamView,
};

/// Places at the upstream, all of which it serves at full pace.
const PLACES: u32 = 16;
const MOST: u32 = 64;
const TOKEN: Duration = Duration::from_millis(5);
/// Samples in one step of the trainer.
const SAMPLES: usize = 96;

fn call() -> Call {
    Call {
        caller: "coach".into(),
        class: Class::Training,
        repeat: Repeat::Idempotent,
        cost: MOST,
        deadline: Duration::from_secs(100_000),
        fingerprint: 1,
        prefix: None,
    }
}

/// Steps of samples of 16 to 64 tokens, each begun when the last is whole, as a trainer does:
/// in each step, the whole upstream is used.
#[test]
fn lengths_cost_no_places() {
    let limits = ServiceLimits { max_queued: 1_000, max_concurrency: PLACES, training_percent: 10 };
    let mut dispatch = Dispatch::new(limits, "z0".into(), 5);
    let view = UpstreamView { name: "a".into(), zone: "z0".into(), accepting: true };
    let mut now = Duration::ZERO;
    dispatch.set_upstreams(&[view], now);
    let mut ends: BTreeMap<(Duration, Ticket), u32> = BTreeMap::new();
    // The first sample is the shortest that there is.
    let mut length = 20_u32;
    for step in 0..30 {
        for _ in 0..SAMPLES {
            dispatch.submit(call(), now);
        }
        let mut most = 0;
        loop {
            for action in dispatch.take_actions() {
                let DispatchAction::Send { ticket, .. } = action else { panic!("{action:?}") };
                // Every length from a quarter of the most up, in an order that mixes them.
                length = (length + 29) % 49;
                let tokens = 16 + length;
                ends.insert((now + TOKEN * tokens, ticket), tokens);
            }
            most = most.max(ends.len());
            let Some(((at, ticket), tokens)) = ends.pop_first() else { break };
            let report = AttemptReport {
                outcome: AttemptOutcome::Answered,
                took: TOKEN * tokens,
                actual_cost: Some(tokens),
            };
            now = at;
            dispatch.attempt_ended(ticket, report, now);
        }
        assert!(step < 1 || most == PLACES as usize, "step {step}: {most} of {PLACES} places");
    }
}
