//! Samples of very different lengths on an upstream of constant speed: different lengths do not
//! make the upstream look slow.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use mulberrycourse::decide::{
    AttemptOutcome, AttemptReport, Call, Class, Dispatch, DispatchAction, Repeat, ServiceLimits,
    Ticket, UpstreamView,
};

/// Concurrent attempts that the upstream serves at full speed.
const SLOTS: u32 = 16;
/// The maximum length of a sample, which is its estimated cost.
const MAX_TOKENS: u32 = 64;
/// The time in which the upstream generates a token.
const TOKEN_TIME: Duration = Duration::from_millis(5);
/// Samples in one step of the trainer.
const SAMPLES_PER_STEP: usize = 96;

fn call() -> Call {
    Call {
        caller: "coach".into(),
        class: Class::Training,
        repeat: Repeat::Idempotent,
        cost: MAX_TOKENS,
        deadline: Duration::from_secs(100_000),
        fingerprint: 1,
        prefix: None,
    }
}

/// Steps of samples of 16 to 64 tokens, each of which begins when the previous one is
/// complete, as with a trainer: each step uses all slots of the upstream.
#[test]
fn different_lengths_do_not_lower_the_concurrency_limit() {
    let limits = ServiceLimits { max_queued: 1_000, max_concurrency: SLOTS, training_percent: 10 };
    let mut dispatch = Dispatch::new(limits, "z0".into(), 5);
    let view = UpstreamView { name: "a".into(), zone: "z0".into(), accepting: true };
    let mut now = Duration::ZERO;
    dispatch.set_upstreams(&[view], now);
    let mut ends: BTreeMap<(Duration, Ticket), u32> = BTreeMap::new();
    // The first sample is the shortest of all.
    let mut length = 20_u32;
    for step in 0..30 {
        for _ in 0..SAMPLES_PER_STEP {
            dispatch.submit(call(), now);
        }
        let mut max_running = 0;
        loop {
            for action in dispatch.take_actions() {
                let DispatchAction::Send { ticket, .. } = action else { panic!("{action:?}") };
                // All lengths from a quarter of the maximum up, in mixed order.
                length = (length + 29) % 49;
                let tokens = 16 + length;
                ends.insert((now + TOKEN_TIME * tokens, ticket), tokens);
            }
            max_running = max_running.max(ends.len());
            let Some(((at, ticket), tokens)) = ends.pop_first() else { break };
            let report = AttemptReport {
                outcome: AttemptOutcome::Answered,
                took: TOKEN_TIME * tokens,
                actual_cost: Some(tokens),
            };
            now = at;
            dispatch.attempt_ended(ticket, report, now);
        }
        assert!(
            step < 1 || max_running == SLOTS as usize,
            "step {step}: {max_running} of {SLOTS} slots"
        );
    }
}
