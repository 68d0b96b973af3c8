//! Tests of the placement and the moves of texts where replicas differ in speed.
#![allow(clippy::unwrap_used)]

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use mulberrycourse::Name;
use mulberrycourse::decide::load::{MoveBudget, OpenStep, StepOrder, TextLength, TextLengths};
use mulberrycourse::decide::{
    AttemptRequest, Fleet, Grant, ListedReplica, ReplicaOutcome, SlotQueue, SlotRequest,
};
use mulberrycourse::edge::replica::{ReplicaLoad, Target};

const SERVICE: &str = "engines";
const WEIGHTS: Option<(&str, u64)> = Some(("m", 1));
const SLOTS: u32 = 6;
/// Seconds that an event takes at a fast and at a slow replica, and what each reports.
const FAST: (f64, u32) = (0.024, 55);
const SLOW: (f64, u32) = (0.054, 120);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn listed(id: &str) -> ListedReplica {
    ListedReplica {
        target: Target {
            id: id.into(),
            started_ms: None,
            address: SocketAddr::from(([10, 0, 0, 1], 1)),
        },
        service: SERVICE.into(),
        zone: "z".into(),
        slots: SLOTS,
        draining: false,
        spot: false,
        versions: vec![("m".into(), 1)],
    }
}

/// A fleet whose first `fast` of `count` replicas are fast. All have reported their speed, if
/// `reports` is set, and that they are idle.
fn fleet(count: usize, fast: usize, reports: bool, now: Duration) -> Fleet {
    let mut fleet = Fleet::new("z".into());
    for index in 0..count {
        let id = replica(index);
        fleet.upsert(listed(&id));
        let slowdown = reports.then_some(if index < fast { FAST.1 } else { SLOW.1 });
        fleet.report_load(&id, ReplicaLoad { running: 0, waiting: 0, slowdown }, now);
    }
    fleet
}

fn replica(index: usize) -> String {
    format!("r{index:04}")
}

fn request(length: TextLength) -> AttemptRequest<'static> {
    AttemptRequest {
        service: SERVICE,
        weights: WEIGHTS,
        avoid: &[],
        length,
        allow_full: false,
        apart: false,
    }
}

/// Plays a step of texts of these lengths, in events, on twelve replicas of which three are fast, in
/// steps of ten milliseconds. Returns when each text ended and the number of moves. The estimates
/// are wrong by up to a factor of two.
fn play_step(lengths: &[u64], reports: bool) -> (Vec<Duration>, usize) {
    let (count, fast, start) = (12, 3, ms(1_000));
    let mut fleet = fleet(count, fast, reports, start);
    let speeds: HashMap<Name, (f64, u32)> =
        (0..count).map(|i| (replica(i).into(), if i < fast { FAST } else { SLOW })).collect();
    let length = |i: usize, left: f64| TextLength {
        hint: Some(lengths[i] * 62 * [1, 2, 4][i % 3] / 2),
        events: (lengths[i] as f64 - left.max(0.0)) as u64,
    };
    let slot_request = |length: TextLength| SlotRequest {
        service: SERVICE.into(),
        model: Some("m".into()),
        min_version: 1,
        avoid: Vec::new(),
        length,
        apart: false,
    };
    let mut left: Vec<f64> = lengths.iter().map(|events| *events as f64).collect();
    let mut ends = vec![Duration::ZERO; lengths.len()];
    let mut waiting: SlotQueue<usize> = SlotQueue::default();
    let mut order: Vec<usize> = (0..lengths.len()).collect();
    order.sort_by_key(|i| std::cmp::Reverse(length(*i, left[*i]).hint));
    let open = OpenStep {
        id: 0,
        order: 0,
        priority: 0,
        services: vec![SERVICE.into()],
        model: Some("m".into()),
        organisation: None,
        due: None,
    };
    waiting.open_step(StepOrder::new(open, order.iter().map(|_| "g")), start);
    for (rank, i) in order.iter().enumerate() {
        waiting.add(0, rank as u64, slot_request(length(*i, left[*i])), *i);
    }
    let mut running: HashMap<usize, (Name, u64)> = HashMap::new();
    let (mut now, mut moves, mut ended) = (start, 0, 0);
    while ended < lengths.len() {
        for Grant { grant: i, target, .. } in waiting.assign_all(&mut fleet, now) {
            let slowdown = reports.then_some(speeds[&target.id].1);
            fleet.report_load(&target.id, ReplicaLoad { running: 0, waiting: 0, slowdown }, now);
            running.insert(i, (target.id, length(i, left[i]).events));
        }
        now += ms(10);
        let mut stopped = Vec::new();
        for (i, (id, measured)) in &mut running {
            let interval = speeds[id].0;
            left[*i] -= 0.010 / interval;
            let length = length(*i, left[*i]);
            if left[*i] <= 0.0 {
                stopped.push((*i, false));
            } else if length.events >= *measured + 6 {
                *measured = length.events;
                fleet.record_event_interval(id, interval, now);
                if fleet.take_move(id, WEIGHTS, length, interval, now) {
                    stopped.push((*i, true));
                }
            }
        }
        for (i, moved) in stopped {
            let (id, _) = running.remove(&i).unwrap();
            fleet.end_attempt(&id, None, ReplicaOutcome::Abandoned, now);
            if moved {
                moves += 1;
                waiting.add(0, i as u64, slot_request(length(i, left[i])), i);
            } else {
                ended += 1;
                ends[i] = now - start;
                fleet.record_text(&SERVICE.into(), length(i, left[i]));
            }
        }
    }
    (ends, moves)
}

/// A step with a few texts that are ten times as long as most.
fn step() -> Vec<u64> {
    (0..72).map(|i| if i % 12 == 5 { 120 } else { 6 + i % 17 }).collect()
}

/// Guards against long texts on slow replicas, which end after the rest of their step, and against
/// repairing that by moving one text in four: the step takes little longer than its longest text
/// at a fast replica.
#[test]
fn a_step_ends_with_its_longest_texts_at_fast_replicas() {
    let lengths = step();
    let (ends, moves) = play_step(&lengths, true);
    let last = ends.iter().max().unwrap().as_secs_f64();
    let longest = *lengths.iter().max().unwrap() as f64 * FAST.0;
    assert!(last <= 1.35 * longest, "{last:.2} s, the longest text takes {longest:.2} s");
    assert!(moves * 10 <= lengths.len(), "{moves} moves of {} texts", lengths.len());
}

/// Guards against a text that is moved though it is nearly complete, and against moves without
/// limit while many replicas are slow.
#[test]
fn moves_have_to_gain_time_and_are_limited() {
    let now = ms(1_000);
    let mut fleet = fleet(4, 1, true, now);
    fleet.record_event_interval("r0003", SLOW.0, now);
    let length = |events| TextLength { hint: None, events };
    assert!(!fleet.take_move("r0003", WEIGHTS, length(18), SLOW.0, now), "nearly complete");
    assert!(fleet.take_move("r0003", WEIGHTS, length(80), SLOW.0, now));
    assert!(!fleet.take_move("r0000", WEIGHTS, length(80), FAST.0, now), "at the fastest replica");
    let mut budget = MoveBudget::default();
    let moves = (0..1_000).filter(|_| budget.take(2.0)).count();
    assert!((4..=12).contains(&moves), "{moves} moves in a row");
    assert!(budget.take(60.0), "a move that gains more is still allowed");
    (0..100).for_each(|_| budget.text_began());
    assert!(budget.take(2.0), "texts that begin allow moves again");
}

/// Guards against a text that leaves a replica for a moment's slowdown by another machine user.
#[test]
fn a_short_slowdown_moves_nothing() {
    let mut now = ms(1_000);
    let mut fleet = fleet(8, 8, true, now);
    let length = TextLength { hint: None, events: 60 };
    for step in 0..80 {
        now += ms(25);
        let slow = (20..44).contains(&step);
        let interval = if slow { 2.5 * FAST.0 } else { FAST.0 };
        fleet.record_event_interval("r0000", interval, now);
        assert!(!fleet.take_move("r0000", WEIGHTS, length, interval, now), "at {step}");
    }
}

/// Guards against replicas of equal speed being treated as uneven: moves follow the former rule.
#[test]
fn even_replicas_that_report_no_speed_keep_the_former_rule() {
    let mut now = ms(1_000);
    let mut fleet = fleet(8, 0, false, now);
    for _ in 0..400 {
        now += ms(20);
        for index in 0..8 {
            fleet.record_event_interval(&replica(index), SLOW.0, now);
        }
    }
    let length = TextLength { hint: Some(62 * 200), events: 6 };
    let slow = 2.0 * SLOW.0;
    let former = fleet.has_faster_replica("r0001", WEIGHTS, slow, now);
    assert!(former);
    for _ in 0..100 {
        assert!(fleet.take_move("r0001", WEIGHTS, length, slow, now), "no budget applies");
    }
}

/// Guards against a figure that no machine can report deciding where texts go.
#[test]
fn speeds_out_of_range_are_ignored() {
    let now = ms(1_000);
    let mut fleet = fleet(2, 1, true, now);
    for slowdown in [0, 10_001, u32::MAX] {
        let load = ReplicaLoad { running: 0, waiting: 0, slowdown: Some(slowdown) };
        assert!(!fleet.report_load("r0001", load, now), "{slowdown}");
    }
    let target = fleet.choose(&request(TextLength::default()), now).unwrap();
    assert_eq!(&*target.id, "r0000");
}

/// Guards against a search of the whole fleet for each text.
#[test]
fn a_choice_looks_at_no_more_replicas_in_a_larger_fleet() {
    let now = ms(1_000);
    let visits = |count: usize| {
        let mut fleet = fleet(count, count / 4, true, now);
        let before = fleet.visited_replicas();
        for _ in 0..100 {
            let target = fleet.choose(&request(TextLength::default()), now).unwrap();
            fleet.start_attempt(&target.id, now);
            let load = ReplicaLoad { running: 1, waiting: 0, slowdown: Some(FAST.1) };
            fleet.report_load(&target.id, load, now);
        }
        fleet.visited_replicas() - before
    };
    let (small, medium, large) = (visits(60), visits(300), visits(3_000));
    assert!(medium <= 2 * small && large <= 2 * small, "{small}, {medium}, {large}");
}

/// Guards against a text that outgrew its estimate counting as nearly complete.
#[test]
fn a_text_beyond_its_estimate_is_expected_to_go_on() {
    let mut lengths = TextLengths::default();
    assert!(lengths.events_left(TextLength { hint: Some(9_000), events: 0 }) > 10.0);
    for _ in 0..50 {
        lengths.record(TextLength { hint: Some(620), events: 10 });
    }
    let left = |hint, events| lengths.events_left(TextLength { hint, events });
    assert!((left(Some(6_200), 0) - 100.0).abs() < 1.0);
    assert!((left(Some(6_200), 90) - 45.0).abs() < 1.0);
    assert!(left(Some(620), 60) >= 30.0);
    assert!(left(Some(0), 0).is_finite() && left(None, 0) > 0.0);
}
