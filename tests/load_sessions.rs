//! A request that makes progress with each attempt is retried for as long as it does, while one
//! without progress ends after a few attempts.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use mulberrycourse::decide::{
    AttemptOutcome, AttemptReport, Call, Class, Dispatch, DispatchAction, Repeat, ServiceLimits,
    Ticket, UpstreamView,
};

const DEADLINE: Duration = Duration::from_secs(3_600);

fn dispatch() -> (Dispatch, Ticket) {
    let limits = ServiceLimits { max_queued: 10, max_concurrency: 2, training_percent: 0 };
    let mut dispatch = Dispatch::new(limits, "z0".into(), 1);
    let view = |name: &str| UpstreamView { name: name.into(), zone: "z0".into(), accepting: true };
    dispatch.set_upstreams(&[view("a"), view("b")], Duration::ZERO);
    let call = Call {
        caller: "shop".into(),
        class: Class::Live,
        repeat: Repeat::Idempotent,
        cost: 1_000,
        deadline: DEADLINE,
        fingerprint: 1,
        prefix: None,
    };
    let ticket = dispatch.submit(call, Duration::ZERO);
    (dispatch, ticket)
}

/// Breaks off `count` attempts and returns how many were sent. Each makes progress if `progress` is
/// set.
fn break_attempts(dispatch: &mut Dispatch, ticket: Ticket, count: u64, progress: bool) -> usize {
    let took = Duration::from_secs(60);
    let mut sent = 0;
    for minute in 1..=count {
        let actions = dispatch.take_actions();
        sent += actions.iter().filter(|a| matches!(a, DispatchAction::Send { .. })).count();
        if progress {
            dispatch.progressed(ticket);
        }
        dispatch.attempt_ended(
            ticket,
            AttemptReport { outcome: AttemptOutcome::Unknown, took, actual_cost: None },
            took * minute as u32,
        );
    }
    sent
}

/// A one-hour session whose engine fails every minute continues each time, although the
/// service has no retry budget left.
#[test]
fn request_with_progress_is_retried_without_limit() {
    let (mut dispatch, ticket) = dispatch();
    assert_eq!(break_attempts(&mut dispatch, ticket, 50, true), 50);
}

/// While no engine accepts work, a request with progress waits for one until its deadline.
#[test]
fn request_with_progress_waits_for_an_engine() {
    let (mut dispatch, ticket) = dispatch();
    break_attempts(&mut dispatch, ticket, 1, true);
    dispatch.take_actions();
    let closed =
        |name: &str| UpstreamView { name: name.into(), zone: "z0".into(), accepting: false };
    let second = Duration::from_secs;
    dispatch.progressed(ticket);
    dispatch.set_upstreams(&[closed("a"), closed("b")], second(61));
    let report =
        AttemptReport { outcome: AttemptOutcome::Unknown, took: second(1), actual_cost: None };
    dispatch.attempt_ended(ticket, report, second(62));
    dispatch.tick(second(70));
    assert_eq!(dispatch.take_actions(), []);
    let open = UpstreamView { accepting: true, ..closed("a") };
    dispatch.set_upstreams(&[open], second(71));
    assert!(matches!(dispatch.take_actions().as_slice(), [DispatchAction::Send { .. }]));
}

/// A request without progress gets a few attempts and then the final answer.
#[test]
fn request_without_progress_is_refused_after_few_attempts() {
    let (mut dispatch, ticket) = dispatch();
    let sent = break_attempts(&mut dispatch, ticket, 50, false);
    assert!(sent <= 4, "{sent}");
}
