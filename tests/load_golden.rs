//! Compares the actions of `Dispatch` for a sequence of events with a golden file.
#![allow(clippy::unwrap_used)]

use std::fmt::Write;
use std::time::Duration;

use mulberrycourse::decide::{
    AttemptOutcome, AttemptReport, Call, CallerWeights, Class, Dispatch, LoadReport, Repeat,
    ServiceLimits, UpstreamView,
};

fn call(caller: &str, class: Class, repeat: Repeat, deadline_ms: u64) -> Call {
    Call {
        caller: caller.into(),
        class,
        repeat,
        cost: 10,
        deadline: Duration::from_millis(deadline_ms),
        fingerprint: 1,
        prefix: None,
    }
}

fn views(accepting: &[bool]) -> Vec<UpstreamView> {
    let view = |(i, accepting): (usize, &bool)| UpstreamView {
        name: format!("u{i}").into(),
        zone: format!("z{i}").into(),
        accepting: *accepting,
    };
    accepting.iter().enumerate().map(view).collect()
}

/// The dispatch under test and the log of its actions.
struct Log {
    dispatch: Dispatch,
    text: String,
}

impl Log {
    /// Logs an event and the actions that result from it.
    fn step(&mut self, ms: u64, event: &str) {
        let actions = self.dispatch.take_actions();
        let (waiting, running) = (self.dispatch.waiting(), self.dispatch.running());
        writeln!(self.text, "{ms} ms: {event}; waiting {waiting}, running {running}").unwrap();
        for action in actions {
            writeln!(self.text, "    {action:?}").unwrap();
        }
    }
}

/// Two upstreams with one slot each: queueing, a retry, a request that may not be repeated, a
/// full queue, a deadline, and an upstream that leaves.
#[test]
fn session() {
    let ms = Duration::from_millis;
    let limits = ServiceLimits { max_queued: 2, max_concurrency: 1, training_percent: 10 };
    let mut log = Log { dispatch: Dispatch::new(limits, "z0".into(), 3), text: String::new() };
    let weights = [("shop".into(), 3), ("coach".into(), 1)].into();
    log.dispatch.set_weights(CallerWeights { weights });
    let early = log.dispatch.submit(call("shop", Class::Live, Repeat::Idempotent, 900), ms(0));
    log.step(0, "offer before any upstream is known");
    log.dispatch.set_upstreams(&views(&[true, true]), ms(10));
    log.step(10, "two upstreams");
    log.dispatch.attempt_ended(
        early,
        AttemptReport { outcome: AttemptOutcome::Answered, took: ms(5), actual_cost: None },
        ms(15),
    );
    log.step(15, "the first is answered");
    let first = log.dispatch.submit(call("shop", Class::Live, Repeat::Idempotent, 900), ms(20));
    let second = log.dispatch.submit(call("shop", Class::Live, Repeat::Once, 900), ms(20));
    log.step(20, "two live requests, the second may not be repeated");
    let third =
        log.dispatch.submit(call("coach", Class::Training, Repeat::Idempotent, 5_000), ms(30));
    log.dispatch.submit(call("shop", Class::Live, Repeat::Idempotent, 900), ms(30));
    log.dispatch.submit(call("shop", Class::Live, Repeat::Idempotent, 60), ms(30));
    log.step(30, "a rollout and two live requests wait");
    log.dispatch.submit(call("other", Class::Live, Repeat::Idempotent, 900), ms(40));
    log.step(40, "another caller comes to a full queue");
    log.dispatch.load_report("u0", LoadReport { total: 9, requested_at: ms(50) });
    log.dispatch.attempt_ended(
        first,
        AttemptReport { outcome: AttemptOutcome::Unknown, took: ms(40), actual_cost: None },
        ms(60),
    );
    log.step(60, "the first breaks off and waits again");
    log.dispatch.attempt_ended(
        second,
        AttemptReport { outcome: AttemptOutcome::Unknown, took: ms(50), actual_cost: None },
        ms(70),
    );
    log.step(70, "the second breaks off, which may not be repeated");
    log.dispatch.tick(ms(100));
    log.step(100, "time passes");
    log.dispatch.set_upstreams(&views(&[true, false]), ms(110));
    log.step(110, "u1 is leaving");
    log.dispatch.cancel(third, ms(120));
    log.step(120, "the trainer goes away");
    log.dispatch.tick(ms(1_000));
    log.step(1_000, "the deadlines pass");
    insta::assert_snapshot!(log.text);
}
