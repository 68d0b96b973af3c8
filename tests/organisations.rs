//! Tests of organisations, their keys and the ids of their jobs.
#![allow(clippy::unwrap_used)]

use mulberrycourse::decide::{
    Caller, KeyDigest, Organisation, OrganisationFault, Organisations, public_job,
};
use proptest::prelude::*;

fn organisation(name: &str, keys: &[&str]) -> Organisation {
    let keys = keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect();
    Organisation { name: name.into(), priority: None, keys }
}

#[test]
fn a_key_of_two_organisations_is_valid_for_neither() {
    let all = vec![
        organisation("a", &["k", "ka"]),
        organisation("b", &["k", "kb"]),
        organisation("c", &["k"]),
    ];
    let (organisations, faults) = Organisations::new(all);
    let holder = |key: &str| organisations.holder(KeyDigest::of(key.as_bytes())).map(|n| &**n);
    assert_eq!((holder("k"), holder("ka"), holder("kb")), (None, Some("a"), Some("b")));
    assert_eq!(faults, [OrganisationFault::SharedKey("a".into(), "b".into())]);
}

#[test]
fn a_key_listed_twice_for_one_organisation_is_no_fault() {
    let (organisations, faults) =
        Organisations::new(vec![organisation("a", &["k", "k"]), organisation("a", &["l"])]);
    assert_eq!(faults, []);
    assert_eq!(organisations.holder(KeyDigest::of(b"l")).map(|n| &**n), Some("a"));
}

#[test]
fn the_debug_output_of_a_digest_does_not_reveal_the_key() {
    assert_eq!(format!("{:?}", KeyDigest::of(b"secret")), "KeyDigest");
}

#[test]
fn a_job_id_fits_a_key_of_the_store_for_any_organisation_name() {
    for length in [1, 40, 41, 5_000] {
        let name = "%".repeat(length);
        let id = Caller::Organisation(name.as_str().into()).job_id("7c41e09b52d6a3f8");
        assert!(id.len() < 150 && !id.contains('/'), "{id}");
    }
}

proptest! {
    #[test]
    fn no_two_callers_share_a_job(a in "[ -~]{1,50}", b in "[ -~]{1,50}", i in "[ -~]{1,20}", j in "[ -~]{1,20}") {
        let job = |organisation: &str, id: &str| Caller::Organisation(organisation.into()).job_id(id);
        prop_assert_eq!(job(&a, &i) == job(&b, &j), a == b && i == j);
        prop_assert_ne!(job(&a, &i), public_job(&j));
    }
}
