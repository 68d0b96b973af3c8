//! Tests of the choice of a request's route and service.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use mulberrycourse::decide::{RequestLimits, RetryPolicy, Route, Routes};

fn route(host: &str, prefix: &str, services: &[(&str, u32)]) -> Route {
    Route {
        name: prefix.into(),
        host: host.into(),
        prefix: prefix.into(),
        retry_policy: RetryPolicy::Rerun,
        streaming: false,
        batch: false,
        timeout: None,
        target_latency: Duration::ZERO,
        priority: 0,
        services: services.iter().map(|(name, weight)| ((*name).into(), *weight)).collect(),
        max_attempts: 1,
        result_deadline: None,
        retention: Duration::ZERO,
        single_version: false,
        public: false,
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = ["/", "/a/", "/a/b/"].map(|p| route("h", p, &[("s", 1)]));
    let table = Routes::new(1, RequestLimits::default(), routes.into_iter().collect());
    for (path, prefix) in [("/a/b/c", "/a/b/"), ("/a/bc", "/a/"), ("/ab", "/"), ("/a/b/", "/a/b/")]
    {
        assert_eq!(&*table.find("h", path).unwrap().prefix, prefix, "{path}");
    }
    assert!(table.find("other", "/a/").is_none());
}

#[test]
fn services_are_chosen_by_weight() {
    let route = route("h", "/", &[("a", 90), ("b", 10), ("c", 0)]);
    let chosen: Vec<&str> = (0..100).map(|d| &**route.pick_service(d).unwrap()).collect();
    assert_eq!(chosen.iter().filter(|s| **s == "a").count(), 90);
    assert_eq!(chosen.iter().filter(|s| **s == "b").count(), 10);
    assert_eq!(self::route("h", "/", &[]).pick_service(3), None);
    assert!(self::route("h", "/", &[("a", 0)]).pick_service(3).is_some());
}

/// Guards against a replica that preempts the samples of one trainer for those of another.
#[test]
fn all_samples_of_a_service_have_the_most_urgent_priority_of_its_batch_routes() {
    let batch = |prefix, services, priority| Route {
        batch: true,
        priority,
        ..route("h", prefix, services)
    };
    let routes = vec![
        batch("/a/", &[("s", 1)], 4),
        batch("/b/", &[("s", 1), ("t", 1)], 2),
        batch("/c/", &[("t", 1)], 3),
        route("h", "/live/", &[("s", 1), ("u", 1)]),
    ];
    let table = Routes::new(1, RequestLimits::default(), routes);
    let of = |service| table.sample_priority(service);
    assert_eq!([of("s"), of("t"), of("u")], [Some(2), Some(2), None]);
}
