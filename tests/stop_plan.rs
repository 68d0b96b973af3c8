//! Tests of the schedule of a graceful stop, and of the requests that are still sent meanwhile.

use std::time::Duration;

use mulberrycourse::Moment;
use mulberrycourse::decide::StopDecision::{Refuse, Send, SendToFree};
use mulberrycourse::decide::load::RequestTimes;
use mulberrycourse::decide::{StopPlan, StoppingRequest};

const BEGAN: Moment = Duration::from_secs(100);
const TTL: Duration = Duration::from_secs(1);

fn plan(grace: Duration) -> StopPlan {
    StopPlan::new(BEGAN, grace, TTL)
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against waits of a stop that do not follow the grace period.
#[test]
fn requests_have_five_sixths_of_any_grace_period() {
    for grace in [1, 500, 1_000, 2_000, 5_000, 8_000, 12_000, 60_000, 600_000].map(millis) {
        let plan = plan(grace);
        let (closes, ends) = (plan.closes_at(BEGAN + grace / 4), plan.ends_at());
        assert!(closes > BEGAN && closes <= ends, "{grace:?}: {closes:?}, {ends:?}");
        assert!(ends >= BEGAN + grace * 5 / 6, "{grace:?}: {ends:?}");
        assert!(ends < plan.exits_at() && plan.exits_at() < BEGAN + grace, "{grace:?}: {ends:?}");
        assert!(plan.handover_timeout() <= grace / 4);
    }
}

#[test]
fn the_listeners_close_once_cached_addresses_have_expired() {
    assert_eq!(plan(millis(8_000)).closes_at(BEGAN), BEGAN + millis(3_200));
    assert_eq!(plan(millis(8_000)).closes_at(BEGAN + millis(2_000)), BEGAN + millis(4_200));
    assert_eq!(plan(millis(5_000)).closes_at(BEGAN), BEGAN + millis(2_700));
    let long = StopPlan::new(BEGAN, millis(60_000), millis(5_000));
    assert_eq!(long.closes_at(BEGAN), BEGAN + millis(15_200));
}

/// A request that arrived this long after the stop began, with this time limit.
fn request(after: u64, limit: u64, usual: Option<u64>) -> StoppingRequest {
    let received_at = BEGAN + millis(after);
    StoppingRequest {
        received_at,
        deadline: received_at + millis(limit),
        usual_time: usual.map(millis),
    }
}

#[test]
fn requests_that_end_in_time_are_sent() {
    let plan = plan(millis(8_000));
    for (after, limit, usual, decision) in [
        // Its limit ends before the node does.
        (3_100, 1_500, None, Send),
        (3_100, 1_500, Some(9_000), Send),
        // It is expected to end before the node does.
        (500, 12_000, Some(4_000), SendToFree),
        (2_550, 12_000, Some(3_850), SendToFree),
        (2_550, 12_000, Some(5_100), Refuse),
        (500, 12_000, Some(8_000), Refuse),
        // Nothing is known of such requests.
        (500, 12_000, None, Refuse),
        // It may have been sent more than three seconds after the signal.
        (2_900, 12_000, Some(100), Refuse),
    ] {
        let request = request(after, limit, usual);
        let now = request.received_at;
        assert_eq!(plan.decide(&request, now), decision, "{after} {limit} {usual:?}");
    }
    // A request that waited at the node.
    let waiting = request(1_000, 12_000, Some(3_500));
    assert_eq!(plan.decide(&waiting, BEGAN + millis(4_500)), Refuse);
}

#[test]
fn the_usual_time_is_that_of_nine_in_ten_of_the_last_requests() {
    let mut times = RequestTimes::default();
    assert_eq!(times.usual(), None);
    times.record(millis(70));
    assert_eq!(times.usual(), Some(millis(70)));
    for n in 1..=100 {
        times.record(millis(n));
    }
    // Of the last 64, from 37 to 100, the 58th.
    assert_eq!(times.usual(), Some(millis(94)));
}
