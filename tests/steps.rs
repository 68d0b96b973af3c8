//! Tests over real sockets that a step delivers every sample once, none of them too old, in
//! complete groups.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use mulberrycourse::client::{AddressBook, StepReport, TrainerClient};
use mulberrycourse::decide::{Group, GroupSpec, Ranges, StepSpec};
use mulberrycourse::edge::http::{JsonClient, JsonClientError};
use mulberrycourse::node::{PullGroupsRequest, PullGroupsResponse, SubmitStepRequest};
use standins::engine::{EngineSettings, Faults};
use standins::fleet::{Fleet, bundle_text};
use standins::trainer::{label_versions, produced_versions};

/// Time limit against a hang; no assertion depends on it.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

fn slow_engines() -> EngineSettings {
    EngineSettings { token_time: Duration::from_millis(5), ..EngineSettings::default() }
}

fn spec(groups: u32, samples: u32, max_tokens: u32) -> StepSpec {
    let prompt = |g| GroupSpec { prompt: format!("count {g}"), samples, max_tokens };
    StepSpec { version: 1, groups: (0..groups).map(prompt).collect() }
}

fn assert_complete(report: &StepReport, spec: &StepSpec) {
    assert_eq!(report.duplicates, 0);
    assert_eq!(report.incomplete, 0);
    assert!(report.groups.keys().copied().eq(0..spec.groups.len() as u32));
    for (number, group) in &report.groups {
        let samples = spec.groups[*number as usize].samples;
        assert!(group.samples.iter().map(|s| s.index).eq(0..samples));
    }
}

/// Returns how often each sample was started at the engines, by slot.
fn started_samples(fleet: &Fleet) -> BTreeMap<String, usize> {
    let mut started = BTreeMap::new();
    for id in fleet.engines.iter().flat_map(|e| e.ledger().into_keys()) {
        let slot = id.rsplitn(3, '/').last().unwrap_or_default().to_owned();
        *started.entry(slot).or_default() += 1;
    }
    started
}

/// Returns the owner of the trainer's steps, once every node names the same one.
async fn agreed_owner(fleet: &Fleet) -> SocketAddr {
    let wait = async {
        loop {
            let mut owners = Vec::new();
            for node in fleet.client_addresses() {
                owners.push(
                    AddressBook::for_trainer(vec![node], "coach".into())
                        .next_address()
                        .await
                        .unwrap(),
                );
            }
            if owners.iter().all(|owner| *owner == owners[0]) {
                return owners[0];
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, wait).await.unwrap()
}

async fn send<T: serde::de::DeserializeOwned>(
    at: SocketAddr,
    method: Method,
    path: &str,
    value: &impl serde::Serialize,
) -> Result<T, JsonClientError> {
    let path = format!("/v1/trainers/coach/steps/{path}");
    JsonClient::default().call(at, method, &path, value, TEST_TIMEOUT).await
}

async fn submit(at: SocketAddr, step: u64, spec: &StepSpec, have: Ranges) {
    let submit =
        SubmitStepRequest { spec: spec.clone(), delivered: have, partial_groups: Vec::new() };
    let _: serde_json::Value = send(at, Method::PUT, &step.to_string(), &submit).await.unwrap();
}

async fn pull(at: SocketAddr, step: u64, version: u64, have: &[u32]) -> PullGroupsResponse {
    let have = have.iter().copied().collect();
    let pull = PullGroupsRequest { version, delivered: have, max_groups: 64, wait_ms: 10_000 };
    send(at, Method::POST, &format!("{step}/pull"), &pull).await.unwrap()
}

/// Pulls without an acknowledgement until the response contains this many groups.
async fn pull_unacknowledged(at: SocketAddr, step: u64, groups: usize) -> Vec<Group> {
    loop {
        let pulled = pull(at, step, 1, &[]).await;
        if pulled.groups.len() >= groups {
            return pulled.groups;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Nodes that have just started may name different owners. Soon all name the same one, and after it
/// has stopped they agree on the next.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_agree_on_the_home() {
    let mut fleet = Fleet::spawn(3, 2, EngineSettings::default()).await.unwrap();
    let first = agreed_owner(&fleet).await;
    let node = fleet.nodes.iter().find(|n| n.client_address() == first).unwrap();
    assert!(node.stop().await);
    fleet.nodes.retain(|n| n.client_address() != first);
    assert_ne!(agreed_owner(&fleet).await, first);
}

/// The response with the groups is lost. The same groups are returned again until they are
/// acknowledged, and not after that.
#[tokio::test(flavor = "multi_thread")]
async fn reply_is_lost() {
    let fleet = Fleet::spawn(2, 2, EngineSettings::default()).await.unwrap();
    let at = agreed_owner(&fleet).await;
    let spec = spec(2, 2, 16);
    submit(at, 1, &spec, Ranges::default()).await;
    let lost = pull_unacknowledged(at, 1, 2).await;
    let again = pull(at, 1, 1, &[]).await;
    assert_eq!(again.groups, lost);
    assert_eq!(pull(at, 1, 1, &[0]).await.groups, lost[1..]);
    let last = pull(at, 1, 1, &[0, 1]).await;
    assert!(last.complete && last.groups.is_empty());
    assert!(started_samples(&fleet).values().all(|count| *count == 1));
}

/// The owner of the step dies after it returned groups and before they were acknowledged. The
/// trainer continues at another node, which makes only the other groups.
#[tokio::test(flavor = "multi_thread")]
async fn home_dies_after_handover() {
    let mut fleet = Fleet::spawn(3, 2, slow_engines()).await.unwrap();
    let at = agreed_owner(&fleet).await;
    let trainer = TrainerClient::new("coach".into(), fleet.client_addresses());
    let spec = spec(6, 2, 60);
    let mut pulling = trainer.resume_step(1, &spec, BTreeMap::new());
    let first = pulling.next_groups().await.unwrap();
    assert!(!first.is_empty());
    fleet.nodes.retain(|n| n.client_address() != at);
    let before = started_samples(&fleet);
    while !pulling.next_groups().await.unwrap().is_empty() {}
    assert_complete(pulling.report(), &spec);
    for group in first {
        let slot = format!("coach/1/{}/0", group.group);
        assert_eq!(started_samples(&fleet)[&slot], before[&slot], "{slot} was started again");
    }
}

/// Two nodes run the same step and both finish it. The trainer pulls from one and from the other,
/// and receives each group once.
#[tokio::test(flavor = "multi_thread")]
async fn two_nodes_finish_the_step() {
    let fleet = Fleet::spawn(2, 2, EngineSettings::default()).await.unwrap();
    let [one, other] = [fleet.nodes[0].client_address(), fleet.nodes[1].client_address()];
    let spec = spec(3, 2, 16);
    submit(one, 1, &spec, Ranges::default()).await;
    submit(other, 1, &spec, Ranges::default()).await;
    pull_unacknowledged(one, 1, 3).await;
    pull_unacknowledged(other, 1, 3).await;
    let mut have = Vec::new();
    for at in [one, other, one] {
        let pulled = pull(at, 1, 1, &have).await;
        assert!(pulled.groups.iter().all(|g| !have.contains(&g.group)));
        have.extend(pulled.groups.first().map(|g| g.group));
    }
    assert_eq!(have, [0, 1, 2]);
    assert!(pull(one, 1, 1, &have).await.complete);
    assert!(pull(other, 1, 1, &have).await.complete);
}

/// The trainer restarts during a step, with the groups that it has stored.
#[tokio::test(flavor = "multi_thread")]
async fn trainer_restarts() {
    let fleet = Fleet::spawn(2, 2, slow_engines()).await.unwrap();
    agreed_owner(&fleet).await;
    let spec = spec(6, 2, 60);
    let kept = {
        let trainer = TrainerClient::new("coach".into(), fleet.client_addresses());
        let mut pulling = trainer.resume_step(1, &spec, BTreeMap::new());
        let groups = pulling.next_groups().await.unwrap();
        groups.into_iter().map(|g| (g.group, g)).collect::<BTreeMap<u32, Group>>()
    };
    let trainer = TrainerClient::new("coach".into(), fleet.client_addresses());
    let mut pulling = trainer.resume_step(1, &spec, kept.clone());
    while !pulling.next_groups().await.unwrap().is_empty() {}
    assert_complete(pulling.report(), &spec);
    let groups = &pulling.report().groups;
    assert!(kept.iter().all(|(number, group)| groups[number] == *group));
    assert!(started_samples(&fleet).values().all(|count| *count == 1));
}

/// The owner of the step drains. Its finished samples are kept at the next owner, both those of
/// complete and those of incomplete groups.
#[tokio::test(flavor = "multi_thread")]
async fn home_drains() {
    let fleet = Fleet::spawn(3, 2, slow_engines()).await.unwrap();
    let at = agreed_owner(&fleet).await;
    let trainer = TrainerClient::new("coach".into(), fleet.client_addresses());
    // One sample in each group is long, so most of a group is finished long before the group is
    // complete.
    let spec = spec(4, 6, 120);
    let node = fleet.nodes.iter().find(|n| n.client_address() == at).unwrap();
    let drain = async {
        let finished = || fleet.engines.iter().any(|e| e.ledger().values().any(|l| l.len() > 60));
        while !finished() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        assert!(node.stop().await);
    };
    let both = async { tokio::join!(trainer.run_step(1, &spec), drain) };
    let (report, ()) = tokio::time::timeout(TEST_TIMEOUT, both).await.unwrap();
    let report = report.unwrap();
    assert_complete(&report, &spec);
    assert_eq!(report.failures, 0, "a call failed while the step moved");
}

/// Samples of incomplete groups that a draining node returned are kept: only the missing ones are
/// made.
#[tokio::test(flavor = "multi_thread")]
async fn parts_go_along() {
    let fleet = Fleet::spawn(1, 1, EngineSettings::default()).await.unwrap();
    let at = fleet.nodes[0].client_address();
    let spec = spec(2, 3, 16);
    submit(at, 1, &spec, Ranges::default()).await;
    let mut parts = pull_unacknowledged(at, 1, 2).await;
    parts.iter_mut().for_each(|group| drop(group.samples.remove(1)));
    let submitted = SubmitStepRequest {
        spec: spec.clone(),
        delivered: Ranges::default(),
        partial_groups: parts.clone(),
    };
    let _: serde_json::Value = send(at, Method::PUT, "2", &submitted).await.unwrap();
    let made = pull_unacknowledged(at, 2, 2).await;
    for (group, part) in made.iter().zip(&parts) {
        assert_eq!([&group.samples[0], &group.samples[2]], [&part.samples[0], &part.samples[1]]);
    }
    let started = started_samples(&fleet).into_keys().filter(|slot| slot.starts_with("coach/2/"));
    assert_eq!(started.collect::<Vec<_>>(), ["coach/2/0/1", "coach/2/1/1"]);
}

/// The trainer no longer pulls a step: the step is removed, and its work at the engines is
/// cancelled.
#[tokio::test(flavor = "multi_thread")]
async fn abandoned_step_is_dropped() {
    let fleet = Fleet::spawn(1, 1, slow_engines()).await.unwrap();
    let text = bundle_text(2, 1).replace("staleness = 2", "staleness = 2\nabandoned = 300ms");
    fleet.apply_bundle(2, &text).await.unwrap();
    fleet.wait_until_settled(2).await;
    let at = fleet.nodes[0].client_address();
    submit(at, 1, &spec(1, 1, 100_000), Ranges::default()).await;
    let is_active = async || {
        let pull = PullGroupsRequest {
            version: 1,
            delivered: Ranges::default(),
            max_groups: 1,
            wait_ms: 0,
        };
        send::<PullGroupsResponse>(at, Method::POST, "1/pull", &pull).await.is_ok()
    };
    assert!(is_active().await);
    let removed = async {
        // Each check is a pull, so the checks are further apart than the 300 ms after which the
        // step counts as abandoned.
        while is_active().await {
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        while fleet.engines[0].running() > 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, removed).await.unwrap();
}

/// The trainer advances between two deliveries of the same group: the group is made again, with
/// weights that are fresh.
#[tokio::test(flavor = "multi_thread")]
async fn trainer_moves_on_between_deliveries() {
    let fleet = Fleet::spawn(1, 2, EngineSettings::default()).await.unwrap();
    let at = fleet.nodes[0].client_address();
    submit(at, 1, &spec(1, 2, 16), Ranges::default()).await;
    let first = pull_unacknowledged(at, 1, 1).await;
    assert!(first[0].samples.iter().all(|s| s.oldest() == Some(1)));
    // The staleness bound is 2, so at version 4 nothing older than version 2 is fresh.
    fleet.apply_bundle(2, &bundle_text(2, 4)).await.unwrap();
    let second = loop {
        let pulled = pull(at, 1, 4, &[]).await;
        if !pulled.groups.is_empty() {
            break pulled.groups;
        }
    };
    assert!(second[0].samples.iter().all(|s| s.oldest() >= Some(2)), "{second:?}");
}

/// A pull with the trainer's old version arrives after the trainer has advanced. The samples are
/// checked against the newest version that the trainer has sent.
#[tokio::test(flavor = "multi_thread")]
async fn late_pull_is_judged_by_the_newest_version() {
    let fleet = Fleet::spawn(1, 1, EngineSettings::default()).await.unwrap();
    let at = fleet.nodes[0].client_address();
    submit(at, 1, &spec(1, 1, 16), Ranges::default()).await;
    pull_unacknowledged(at, 1, 1).await;
    let newer = StepSpec { version: 9, ..spec(1, 1, 16) };
    submit(at, 2, &newer, Ranges::default()).await;
    let pull =
        PullGroupsRequest { version: 1, delivered: Ranges::default(), max_groups: 1, wait_ms: 0 };
    let late: PullGroupsResponse = send(at, Method::POST, "1/pull", &pull).await.unwrap();
    assert!(late.groups.is_empty(), "{late:?}");
}

/// The trainer and the engines advance while samples are in progress. Samples that have become too
/// old are cancelled and started again, and none of them is delivered.
#[tokio::test(flavor = "multi_thread")]
async fn trainer_moves_on_under_way() {
    let fleet = Fleet::spawn(2, 2, slow_engines()).await.unwrap();
    let trainer = TrainerClient::new("coach".into(), fleet.client_addresses());
    let spec = spec(2, 2, 200);
    let moves = async {
        while !fleet.engines.iter().all(|e| e.ledger().values().any(|l| l.len() > 10)) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        trainer.set_version(4);
        fleet.apply_bundle(2, &bundle_text(2, 4)).await.unwrap();
    };
    let (report, ()) = tokio::join!(trainer.run_step(1, &spec), moves);
    let report = report.unwrap();
    assert_complete(&report, &spec);
    let samples = report.groups.values().flat_map(|g| &g.samples);
    assert!(samples.into_iter().all(|s| s.oldest() >= Some(2)));
}

/// Every engine is known to serve weights that are too old: no sample starts until an engine has
/// loaded newer ones.
#[tokio::test(flavor = "multi_thread")]
async fn stale_on_arrival_is_not_started() {
    let fleet = Fleet::spawn(1, 1, EngineSettings::default()).await.unwrap();
    let at = fleet.nodes[0].client_address();
    // The node learns from this sample which version the engine serves.
    submit(at, 1, &spec(1, 1, 4), Ranges::default()).await;
    pull_unacknowledged(at, 1, 1).await;
    let before = fleet.engines[0].started_requests();
    submit(at, 2, &StepSpec { version: 5, ..spec(1, 4, 16) }, Ranges::default()).await;
    let pull = PullGroupsRequest {
        version: 5,
        delivered: Ranges::default(),
        max_groups: 1,
        wait_ms: 1_000,
    };
    let pulled: PullGroupsResponse = send(at, Method::POST, "2/pull", &pull).await.unwrap();
    assert!(pulled.groups.is_empty());
    assert_eq!(fleet.engines[0].started_requests(), before);
    fleet.apply_bundle(2, &bundle_text(2, 5)).await.unwrap();
    let made = loop {
        let pulled: PullGroupsResponse = send(at, Method::POST, "2/pull", &pull).await.unwrap();
        if !pulled.groups.is_empty() {
            break pulled.groups;
        }
    };
    assert!(made[0].samples.iter().all(|s| s.oldest() == Some(5)));
}

/// One of three engines is 200 times slower than the others. Its samples continue at the others
/// after the tokens received so far, and none is dropped for being slow.
#[tokio::test(flavor = "multi_thread")]
async fn samples_leave_a_slow_engine() {
    let fleet = Fleet::spawn(1, 3, EngineSettings::default()).await.unwrap();
    fleet.engines[0].set_faults(Faults { slowdown: 200, ..Faults::default() });
    let trainer = TrainerClient::new("coach".into(), fleet.client_addresses());
    let spec = spec(8, 4, 400);
    let report =
        tokio::time::timeout(TEST_TIMEOUT, trainer.run_step(1, &spec)).await.unwrap().unwrap();
    assert_complete(&report, &spec);
    let started = fleet.engines[0].ledger().len();
    let slow = report.groups.values().flat_map(|g| &g.samples);
    let slow = slow.filter(|s| &*s.upstream == "patter-0").count();
    assert!(started > 0, "no sample was started at the slow engine");
    assert_eq!(
        slow, 0,
        "samples that finished at the slow engine, of {started} that started there"
    );
    for group in report.groups.values() {
        for sample in &group.samples {
            let slot = format!("coach/1/{}/{}", group.group, sample.index);
            assert_eq!(
                label_versions(&sample.label),
                produced_versions(&fleet.engines, &slot),
                "label of {slot}"
            );
        }
    }
}

/// A trainer submits its next step while it still trains. As many samples start as the bundle's
/// idle weight allows (0.8 of 12, rounded), and the others once the trainer pulls the step.
#[tokio::test(flavor = "multi_thread")]
async fn next_step_is_begun_early_in_part() {
    let fleet = Fleet::spawn(2, 2, EngineSettings::default()).await.unwrap();
    let spec = spec(4, 3, 8);
    let trainer = TrainerClient::new("coach".into(), fleet.client_addresses());
    let mut pulling = trainer.resume_step(1, &spec, BTreeMap::new());
    pulling.prepare().await.unwrap();
    let made = async {
        while started_samples(&fleet).len() < 10 || fleet.engines.iter().any(|e| e.running() > 0) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, made).await.unwrap();
    assert_eq!(started_samples(&fleet).len(), 10);
    while !pulling.next_groups().await.unwrap().is_empty() {}
    assert_complete(pulling.report(), &spec);
    assert_eq!(started_samples(&fleet).len(), 12);
}
