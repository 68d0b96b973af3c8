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
