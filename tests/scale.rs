//! How many replicas are ordered: tables of demand, prices, limits and zones without any.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use mulberrycourse::Name;
use mulberrycourse::decide::scale::{
    Autoscale, AutoscaleFault, DemandEstimator, Planner, ReplicaCounts,
};
use proptest::prelude::*;

const SLOTS: u32 = 6;
const START: Duration = Duration::from_secs(100);

fn limits(least: u32, most: u32, prices: &[(&str, f64)]) -> Autoscale {
    Autoscale {
        service: "engines".into(),
        min: least,
        max: most,
        boot_time: Duration::from_secs(4),
        spot: false,
        prices: prices.iter().map(|(zone, price)| (Name::from(*zone), *price)).collect(),
    }
}

fn three() -> Autoscale {
    limits(1, 24, &[("a", 1.0), ("b", 1.2), ("c", 0.85)])
}

fn plan(counts: &[(&str, u32)]) -> ReplicaCounts {
    counts.iter().map(|(zone, count)| (Name::from(*zone), *count)).collect()
}

/// All replicas, by zone.
fn whole(planner: &Planner) -> ReplicaCounts {
    let mut whole = planner.base().clone();
    for (zone, extra) in planner.extra() {
        *whole.entry(zone.clone()).or_default() += extra;
    }
    whole
}

fn total(planner: &Planner) -> u32 {
    whole(planner).values().sum()
}

#[test]
fn nothing_is_ordered_while_the_places_are_enough() {
    let base = plan(&[("a", 12), ("b", 12), ("c", 12)]);
    let mut planner = Planner::new(base.clone());
    for (second, wanted) in [0.0, 60.0, 216.0, 230.0].into_iter().enumerate() {
        let now = START + Duration::from_secs(30 * second as u64);
        assert!(!planner.update(&three(), wanted, SLOTS, now), "{wanted}");
    }
    assert_eq!(whole(&planner), base);
}

#[test]
fn a_demand_beyond_all_places_is_met_where_it_is_cheapest() {
    let mut planner = Planner::new(plan(&[("a", 3), ("b", 3), ("c", 3)]));
    assert!(planner.update(&three(), 96.0, SLOTS, START));
    assert_eq!(total(&planner), 16);
    let count = |zone: &str| whole(&planner)[zone];
    assert!(count("c") >= count("a") && count("a") >= count("b"), "{:?}", whole(&planner));
    assert!(count("b") > 3 || count("c") <= 9, "one zone takes it all: {:?}", whole(&planner));
}

#[test]
fn no_zone_gets_more_than_its_most() {
    let limits = limits(1, 5, &[("a", 1.0), ("b", 1.2), ("c", 0.85)]);
    let mut planner = Planner::new(plan(&[("a", 3), ("b", 3), ("c", 3)]));
    planner.update(&limits, 1_000.0, SLOTS, START);
    assert_eq!(whole(&planner), plan(&[("a", 5), ("b", 5), ("c", 5)]));
}

#[test]
fn a_zone_that_has_none_is_left_out_for_a_while() {
    let mut planner = Planner::new(plan(&[("a", 3), ("b", 3), ("c", 3)]));
    planner.update(&three(), 96.0, SLOTS, START);
    planner.zone_refused(&"c".into(), 0, START);
    assert_eq!(whole(&planner)["c"], 3);
    assert!(planner.update(&three(), 96.0, SLOTS, START + Duration::from_secs(1)));
    assert_eq!((whole(&planner)["c"], total(&planner)), (3, 16));
    planner.update(&three(), 200.0, SLOTS, START + Duration::from_secs(4));
    assert!(whole(&planner)["c"] > 3);
}

#[test]
fn replicas_are_given_up_only_after_a_long_time_without_need_and_never_below_the_base() {
    let base = plan(&[("a", 3), ("b", 3), ("c", 3)]);
    let mut planner = Planner::new(base.clone());
    planner.update(&three(), 96.0, SLOTS, START);
    let at = |seconds| START + Duration::from_secs(seconds);
    // A pause between steps, and a burst within it, give up nothing.
    for (second, wanted) in [(1, 10.0), (15, 10.0), (18, 96.0), (19, 10.0), (38, 10.0)] {
        assert!(!planner.update(&three(), wanted, SLOTS, at(second)), "{second}");
    }
    assert!(planner.update(&three(), 10.0, SLOTS, at(39)));
    assert_eq!(whole(&planner), base);
}

#[test]
fn a_successor_goes_on_from_what_was_ordered() {
    let mut planner = Planner::new(plan(&[("a", 3)]));
    planner.update(&three(), 40.0, SLOTS, START);
    let bytes = serde_json::to_vec(&planner).unwrap();
    let mut successor: Planner = serde_json::from_slice(&bytes).unwrap();
    assert!(!successor.update(&three(), 40.0, SLOTS, START));
    assert_eq!((total(&successor), whole(&successor)), (7, whole(&planner)));
}

#[test]
fn limits_that_hold_no_number_are_a_fault() {
    let fault = |limits: Autoscale| limits.checked().unwrap_err();
    assert_eq!(fault(limits(5, 4, &[("a", 1.0)])), AutoscaleFault::Limits(5, 4));
    assert_eq!(fault(limits(1, 4, &[])), AutoscaleFault::NoZone);
    for price in [-1.0, f64::NAN, f64::INFINITY] {
        assert!(matches!(fault(limits(1, 4, &[("a", price)])), AutoscaleFault::Price(..)));
    }
    assert!(three().checked().is_ok());
}

#[test]
fn the_mean_of_what_is_wanted_needs_some_seconds_and_survives_a_new_node() {
    let (mut load, service) = (DemandEstimator::default(), Name::from("engines"));
    let node = |n: &str| Name::from(n);
    let at = |seconds| START + Duration::from_secs(seconds);
    assert_eq!(load.mean_slots("engines", START), None);
    // Ten places all the time at one node; another comes with a total of its own.
    for second in 0..=20 {
        load.record(&node("a"), &service, second * 10_000, at(second));
        if second >= 10 {
            load.record(&node("b"), &service, 7_000_000 + (second - 10) * 5_000, at(second));
        }
        match load.mean_slots("engines", at(second)) {
            None => assert!(second < 4, "{second}"),
            Some(wanted) if second <= 10 => assert!((9.0..=11.5).contains(&wanted), "{wanted}"),
            Some(wanted) => assert!((9.0..=17.0).contains(&wanted), "{wanted}"),
        }
    }
    // A node that begins anew tells less than before.
    load.record(&node("a"), &service, 0, at(21));
    assert!(load.mean_slots("engines", at(21)).unwrap() < 17.0);
}

/// A holder that lost its term and has it again hears of all that was wanted meanwhile at once.
/// Played on a deployment of 36 replicas it ordered 36 more.
#[test]
fn what_was_wanted_while_nobody_asked_is_left_out() {
    let (mut load, node, service) =
        (DemandEstimator::default(), Name::from("a"), Name::from("engines"));
    let at = |seconds| START + Duration::from_secs(seconds);
    for second in (0..10).chain(17..30) {
        load.record(&node, &service, second * 100_000, at(second));
        if let Some(wanted) = load.mean_slots("engines", at(second)) {
            assert!(wanted < 120.0, "{second}: {wanted}");
        }
    }
}

proptest! {
    /// Whatever is wanted and refused, a plan stays within the limits and above the base.
    #[test]
    fn a_plan_stays_within_its_limits(
        steps in prop::collection::vec((0.0..2_000.0_f64, 0..8_u64, prop::option::of((0..3_usize, 0..9_u32))), 1..40),
    ) {
        let base = plan(&[("a", 3), ("b", 2), ("c", 4)]);
        let limits = three();
        let (mut planner, mut now) = (Planner::new(base.clone()), START);
        for (wanted, pause, refused) in steps {
            now += Duration::from_secs(pause);
            planner.update(&limits, wanted, SLOTS, now);
            for (zone, count) in whole(&planner) {
                prop_assert!(count <= limits.max.max(base[&zone]), "{:?}", whole(&planner));
            }
            if let Some((zone, there)) = refused {
                let zone = Name::from(["a", "b", "c"][zone]);
                let before = whole(&planner)[&zone];
                planner.zone_refused(&zone, there, now);
                prop_assert!((base[&zone]..=before).contains(&whole(&planner)[&zone]));
            }
        }
    }
}
