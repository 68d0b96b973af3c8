//! Tests of the number of replicas to order, for various demands, prices and limits, and zones that
//! have no replicas left.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use mulberrycourse::Name;
use mulberrycourse::decide::scale::{
    Autoscale, AutoscaleFault, DemandEstimator, Planner, ReplicaCounts,
};
use proptest::prelude::*;

/// The number of slots of a replica.
const SLOTS_PER_REPLICA: u32 = 6;
const START: Duration = Duration::from_secs(100);

fn limits(min: u32, max: u32, prices: &[(&str, f64)]) -> Autoscale {
    Autoscale {
        service: "engines".into(),
        min,
        max,
        boot_time: Duration::from_secs(4),
        spot: false,
        prices: prices.iter().map(|(zone, price)| (Name::from(*zone), *price)).collect(),
    }
}

fn three_zones() -> Autoscale {
    limits(1, 24, &[("a", 1.0), ("b", 1.2), ("c", 0.85)])
}

fn plan(counts: &[(&str, u32)]) -> ReplicaCounts {
    counts.iter().map(|(zone, count)| (Name::from(*zone), *count)).collect()
}

/// Returns the planned number of replicas by zone, the base included.
fn planned(planner: &Planner) -> ReplicaCounts {
    let mut all = planner.base().clone();
    for (zone, extra) in planner.extra() {
        *all.entry(zone.clone()).or_default() += extra;
    }
    all
}

fn total(planner: &Planner) -> u32 {
    planned(planner).values().sum()
}

#[test]
fn nothing_is_ordered_while_there_are_enough_slots() {
    let base = plan(&[("a", 12), ("b", 12), ("c", 12)]);
    let mut planner = Planner::new(base.clone());
    for (second, wanted) in [0.0, 60.0, 216.0, 230.0].into_iter().enumerate() {
        let now = START + Duration::from_secs(30 * second as u64);
        assert!(!planner.update(&three_zones(), wanted, SLOTS_PER_REPLICA, now), "{wanted}");
    }
    assert_eq!(planned(&planner), base);
}

#[test]
fn a_demand_beyond_all_slots_is_met_where_it_is_cheapest() {
    let mut planner = Planner::new(plan(&[("a", 3), ("b", 3), ("c", 3)]));
    assert!(planner.update(&three_zones(), 96.0, SLOTS_PER_REPLICA, START));
    assert_eq!(total(&planner), 16);
    let count = |zone: &str| planned(&planner)[zone];
    assert!(count("c") >= count("a") && count("a") >= count("b"), "{:?}", planned(&planner));
    assert!(
        count("b") > 3 || count("c") <= 9,
        "one zone gets all replicas: {:?}",
        planned(&planner)
    );
}

#[test]
fn no_zone_exceeds_its_maximum() {
    let limits = limits(1, 5, &[("a", 1.0), ("b", 1.2), ("c", 0.85)]);
    let mut planner = Planner::new(plan(&[("a", 3), ("b", 3), ("c", 3)]));
    planner.update(&limits, 1_000.0, SLOTS_PER_REPLICA, START);
    assert_eq!(planned(&planner), plan(&[("a", 5), ("b", 5), ("c", 5)]));
}

#[test]
fn a_zone_without_free_replicas_is_left_out_for_a_while() {
    let mut planner = Planner::new(plan(&[("a", 3), ("b", 3), ("c", 3)]));
    planner.update(&three_zones(), 96.0, SLOTS_PER_REPLICA, START);
    planner.zone_refused(&"c".into(), 0, START);
    assert_eq!(planned(&planner)["c"], 3);
    assert!(planner.update(
        &three_zones(),
        96.0,
        SLOTS_PER_REPLICA,
        START + Duration::from_secs(1)
    ));
    assert_eq!((planned(&planner)["c"], total(&planner)), (3, 16));
    planner.update(&three_zones(), 200.0, SLOTS_PER_REPLICA, START + Duration::from_secs(4));
    assert!(planned(&planner)["c"] > 3);
}

#[test]
fn replicas_are_released_only_after_a_long_time_without_need_and_never_below_the_base() {
    let base = plan(&[("a", 3), ("b", 3), ("c", 3)]);
    let mut planner = Planner::new(base.clone());
    planner.update(&three_zones(), 96.0, SLOTS_PER_REPLICA, START);
    let at = |seconds| START + Duration::from_secs(seconds);
    // A pause between steps, and a burst within it, release nothing.
    for (second, wanted) in [(1, 10.0), (15, 10.0), (18, 96.0), (19, 10.0), (38, 10.0)] {
        assert!(!planner.update(&three_zones(), wanted, SLOTS_PER_REPLICA, at(second)), "{second}");
    }
    assert!(planner.update(&three_zones(), 10.0, SLOTS_PER_REPLICA, at(39)));
    assert_eq!(planned(&planner), base);
}

#[test]
fn a_successor_continues_from_the_ordered_replicas() {
    let mut planner = Planner::new(plan(&[("a", 3)]));
    planner.update(&three_zones(), 40.0, SLOTS_PER_REPLICA, START);
    let bytes = serde_json::to_vec(&planner).unwrap();
    let mut successor: Planner = serde_json::from_slice(&bytes).unwrap();
    assert!(!successor.update(&three_zones(), 40.0, SLOTS_PER_REPLICA, START));
    assert_eq!((total(&successor), planned(&successor)), (7, planned(&planner)));
}

#[test]
fn invalid_limits_are_a_fault() {
    let fault = |limits: Autoscale| limits.checked().unwrap_err();
    assert_eq!(fault(limits(5, 4, &[("a", 1.0)])), AutoscaleFault::Limits(5, 4));
    assert_eq!(fault(limits(1, 4, &[])), AutoscaleFault::NoZone);
    for price in [-1.0, f64::NAN, f64::INFINITY] {
        assert!(matches!(fault(limits(1, 4, &[("a", price)])), AutoscaleFault::Price(..)));
    }
    assert!(three_zones().checked().is_ok());
}

#[test]
fn the_mean_demand_needs_some_seconds_of_reports_and_is_robust_to_a_new_node() {
    let (mut demand, service) = (DemandEstimator::default(), Name::from("engines"));
    let node = |n: &str| Name::from(n);
    let at = |seconds| START + Duration::from_secs(seconds);
    assert_eq!(demand.mean_slots("engines", START), None);
    // One node demands ten slots all the time. Another one appears with a total of its own.
    for second in 0..=20 {
        demand.record(&node("a"), &service, second * 10_000, at(second));
        if second >= 10 {
            demand.record(&node("b"), &service, 7_000_000 + (second - 10) * 5_000, at(second));
        }
        match demand.mean_slots("engines", at(second)) {
            None => assert!(second < 4, "{second}"),
            Some(wanted) if second <= 10 => assert!((9.0..=11.5).contains(&wanted), "{wanted}"),
            Some(wanted) => assert!((9.0..=17.0).contains(&wanted), "{wanted}"),
        }
    }
    // A restarted node reports a smaller total than before.
    demand.record(&node("a"), &service, 0, at(21));
    assert!(demand.mean_slots("engines", at(21)).unwrap() < 17.0);
}

/// Guards against counting the demand of a gap between two reports. A leader that lost its term and
/// regains it receives all the demand of the meantime at once. In a simulation with 36 replicas it
/// ordered 36 more.
#[test]
fn the_demand_of_a_gap_between_reports_is_left_out() {
    let (mut demand, node, service) =
        (DemandEstimator::default(), Name::from("a"), Name::from("engines"));
    let at = |seconds| START + Duration::from_secs(seconds);
    for second in (0..10).chain(17..30) {
        demand.record(&node, &service, second * 100_000, at(second));
        if let Some(wanted) = demand.mean_slots("engines", at(second)) {
            assert!(wanted < 120.0, "{second}: {wanted}");
        }
    }
}

proptest! {
    /// For any demand and any refusals, a plan stays within the limits and above the base.
    #[test]
    fn a_plan_stays_within_its_limits(
        steps in prop::collection::vec((0.0..2_000.0_f64, 0..8_u64, prop::option::of((0..3_usize, 0..9_u32))), 1..40),
    ) {
        let base = plan(&[("a", 3), ("b", 2), ("c", 4)]);
        let limits = three_zones();
        let (mut planner, mut now) = (Planner::new(base.clone()), START);
        for (wanted, pause, refused) in steps {
            now += Duration::from_secs(pause);
            planner.update(&limits, wanted, SLOTS_PER_REPLICA, now);
            for (zone, count) in planned(&planner) {
                prop_assert!(count <= limits.max.max(base[&zone]), "{:?}", planned(&planner));
            }
            if let Some((zone, there)) = refused {
                let zone = Name::from(["a", "b", "c"][zone]);
                let before = planned(&planner)[&zone];
                planner.zone_refused(&zone, there, now);
                prop_assert!((base[&zone]..=before).contains(&planned(&planner)[&zone]));
            }
        }
    }
}
