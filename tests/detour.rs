//! When a node calls a service through another.

use std::time::Duration;

use mulberrycourse::decide::fallback::{CallPath, FallbackState, probe_interval};
use proptest::prelude::*;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_failure_sends_calls_through_others_until_a_look_finds_the_way_open() {
    let mut detour = FallbackState::default();
    assert_eq!(detour.choose_path(false, ms(0)), CallPath::Direct);
    assert!(detour.direct_failed(ms(0)));
    assert!(!detour.direct_works());
    assert_eq!(detour.choose_path(true, ms(100)), CallPath::ViaPeer);
    assert_eq!(detour.choose_path(true, ms(400)), CallPath::DirectProbe);
    assert_eq!(detour.choose_path(false, ms(400)), CallPath::ViaPeer, "a write is no look");
    assert!(!detour.direct_failed(ms(400)));
    assert_eq!(detour.choose_path(true, ms(900)), CallPath::ViaPeer, "looks grow rare");
    assert_eq!(detour.choose_path(true, ms(1_100)), CallPath::DirectProbe);
    assert!(detour.direct_answered());
    assert_eq!(detour.choose_path(false, ms(1_100)), CallPath::Direct);
}

#[test]
fn nobody_is_asked_for_a_while_after_nobody_could_help() {
    let mut detour = FallbackState::default();
    detour.direct_failed(ms(0));
    detour.peers_failed(ms(0));
    assert_eq!(detour.choose_path(false, ms(300)), CallPath::DirectOnly);
    assert_eq!(detour.choose_path(false, ms(600)), CallPath::ViaPeer);
    assert_eq!(
        detour.choose_path(false, ms(601)),
        CallPath::DirectOnly,
        "one call looks at a time"
    );
    assert!(detour.peer_answered());
    assert_eq!(detour.choose_path(false, ms(602)), CallPath::ViaPeer);
}

proptest! {
    /// Whatever happened before, an open way is found within some looks.
    #[test]
    fn an_open_way_is_found_again(events in proptest::collection::vec((0_u8..4, 0_u64..900), 0..40)) {
        let mut detour = FallbackState::default();
        let mut now = ms(0);
        for (event, later) in events {
            now += ms(later);
            match event {
                0 => drop(detour.direct_failed(now)),
                1 => detour.peers_failed(now),
                2 => drop(detour.peer_answered()),
                _ => drop(detour.direct_answered()),
            }
        }
        let found = (0..30).any(|step| detour.choose_path(true, now + ms(step * 50)) != CallPath::ViaPeer);
        prop_assert!(found);
    }
}

/// Guards: while the service was away from all of 73 nodes for three seconds, every duty of
/// each tried again by itself: 5,200 of 17,700 calls of a day.
#[test]
fn one_look_at_a_time_decides_for_all_duties_while_the_service_is_away() {
    let mut detour = FallbackState::default();
    detour.direct_failed(ms(0));
    detour.peers_failed(ms(0));
    let mut looks = 0;
    for now in (0..3_000).step_by(10) {
        for duty in 0..6 {
            match detour.choose_path(duty % 2 == 0, ms(now)) {
                CallPath::DirectOnly => {
                    looks += 1;
                    detour.direct_failed(ms(now));
                }
                CallPath::ViaPeer => detour.peers_failed(ms(now)),
                CallPath::NoCall => {}
                way => panic!("{way:?}"),
            }
        }
    }
    assert!((15..=20).contains(&looks), "{looks}");
    assert!(detour.direct_answered());
    assert_eq!(detour.choose_path(false, ms(3_000)), CallPath::Direct);
}

#[test]
fn a_fleet_looks_as_often_whatever_its_size() {
    for nodes in [8, 20, 33, 120] {
        let looks: f64 =
            (0..nodes).map(|n| 1.0 / probe_interval(nodes, n as u32 * 131).as_secs_f64()).sum();
        assert!((13.0..22.0).contains(&looks), "{nodes} nodes: {looks} looks a second");
    }
    assert!(probe_interval(1, 0) >= ms(100));
    assert!(
        probe_interval(400, 999) <= ms(10_000),
        "one that is cut off from all others looks by itself"
    );
}

/// Load pattern: hundreds of nodes find the way closed within a moment. Some of them looks
/// every few tenths of a second from then on, so that the service is found back that soon.
#[test]
fn looks_of_a_crowd_lie_apart() {
    let mut fleet: Vec<FallbackState> = (0_u32..250)
        .map(|i| {
            let mut detour = FallbackState::default();
            detour.set_probe_interval(probe_interval(250, i * 7_919), i * 104_729);
            detour.direct_failed(ms(0));
            detour.peers_failed(ms(0));
            detour
        })
        .collect();
    let mut looks = Vec::new();
    for now in (0..12_000).step_by(20) {
        for detour in &mut fleet {
            match detour.choose_path(true, ms(now)) {
                CallPath::DirectOnly => {
                    looks.push(now);
                    detour.direct_failed(ms(now));
                }
                CallPath::ViaPeer => detour.peers_failed(ms(now)),
                CallPath::NoCall => {}
                way => panic!("{way:?}"),
            }
        }
    }
    let gap = looks.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(u64::MAX);
    assert!(gap <= 400, "{gap} ms without a look");
    assert!(looks.len() <= 12 * 60, "{} looks in 12 s", looks.len());
}

/// One that is told makes no look of its own: its next call shows whether the way is open.
#[test]
fn a_node_that_is_told_calls_at_once() {
    let mut detour = FallbackState::default();
    detour.direct_failed(ms(0));
    detour.peers_failed(ms(0));
    assert_eq!(detour.choose_path(false, ms(10)), CallPath::DirectOnly);
    assert_eq!(detour.choose_path(false, ms(20)), CallPath::NoCall);
    detour.on_recovery_notice();
    assert_eq!(detour.choose_path(false, ms(21)), CallPath::Direct);
    assert!(detour.direct_failed(ms(22)), "it may be closed here still");
}
