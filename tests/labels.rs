//! Tests over real sockets that the label of each sample matches the ledgers of the engines.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::time::Duration;

use mulberrycourse::client::{StepReport, TrainerClient};
use mulberrycourse::decide::{GroupSpec, StepSpec};
use mulberrycourse::edge::upstream::{EngineClient, EngineOrder};
use standins::engine::{Engine, EngineSettings, Faults};
use standins::fleet::{Fleet, bundle_text};
use standins::trainer::{label_versions, produced_versions, sample_token_count};

/// Time limit against a hang; no assertion depends on it.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

fn slow_engines() -> EngineSettings {
    EngineSettings { token_time: Duration::from_millis(5), ..EngineSettings::default() }
}

fn spec(version: u64) -> StepSpec {
    let prompt = |g| GroupSpec { prompt: format!("palm {g}"), samples: 4, max_tokens: 160 };
    StepSpec { version, groups: (0..3).map(prompt).collect() }
}

/// Runs a step while `disturb` runs, and checks each label against the ledgers. Returns the
/// versions in the labels.
async fn run_disturbed(fleet: &Fleet, disturb: impl Future<Output = ()>) -> BTreeSet<u64> {
    let trainer = TrainerClient::new("coach".into(), fleet.client_addresses());
    let spec = spec(1);
    let (report, ()) = tokio::time::timeout(TEST_TIMEOUT, async {
        tokio::join!(trainer.run_step(1, &spec), disturb)
    })
    .await
    .unwrap();
    check_labels(fleet, &report.unwrap())
}

fn check_labels(fleet: &Fleet, report: &StepReport) -> BTreeSet<u64> {
    assert_eq!(report.duplicates, 0);
    assert_eq!(report.groups.len(), 3);
    let mut versions = BTreeSet::new();
    for group in report.groups.values() {
        assert_eq!(group.samples.len(), 4);
        for sample in &group.samples {
            let slot = format!("coach/1/{}/{}", group.group, sample.index);
            assert_eq!(
                label_versions(&sample.label),
                produced_versions(&fleet.engines, &slot),
                "label of {slot}"
            );
            assert_eq!(
                label_versions(&sample.label).len(),
                sample_token_count(sample),
                "tokens of {slot}"
            );
            versions.extend(label_versions(&sample.label));
        }
    }
    versions
}

/// Waits until every engine has streamed some tokens.
async fn wait_for_streams(fleet: &Fleet) {
    while !fleet.engines.iter().all(|e| e.ledger().values().any(|tokens| tokens.len() > 5)) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Slows the engines down to 100 ms a token, so that no stream ends before the awaited change.
fn slow_down(fleet: &Fleet, faults: &Faults) {
    let slow = Faults { slowdown: 20, ..faults.clone() };
    fleet.engines.iter().for_each(|e| e.set_faults(slow.clone()));
}

/// Waits until every engine has made tokens with a version, then removes the engines' faults.
async fn wait_for_version(fleet: &Fleet, version: u64) {
    let made = |e: &Engine| e.ledger().values().flatten().any(|t| t.version == version);
    while !fleet.engines.iter().all(made) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    fleet.engines.iter().for_each(|e| e.set_faults(Faults::default()));
}

/// Changes the weights during the streams, and checks that some streams contain the new version.
async fn run_weight_change(fleet: &Fleet) {
    let versions = run_disturbed(fleet, async {
        wait_for_streams(fleet).await;
        fleet.apply_bundle(2, &bundle_text(2, 2)).await.unwrap();
        wait_for_version(fleet, 2).await;
    })
    .await;
    assert!(versions.contains(&2), "no stream contains the new version: {versions:?}");
}

/// The weights change during the streams.
#[tokio::test(flavor = "multi_thread")]
async fn weights_change_in_a_stream() {
    let fleet = Fleet::spawn(2, 2, slow_engines()).await.unwrap();
    slow_down(&fleet, &Faults::default());
    run_weight_change(&fleet).await;
}

/// A weight swap fails partway: the streams of that engine continue at the other one.
#[tokio::test(flavor = "multi_thread")]
async fn swap_fails_partway() {
    let fleet = Fleet::spawn(2, 2, slow_engines()).await.unwrap();
    fleet.engines[0].set_faults(Faults { fail_swaps: 2, ..Faults::default() });
    run_disturbed(&fleet, async {
        wait_for_streams(&fleet).await;
        fleet.apply_bundle(2, &bundle_text(2, 2)).await.unwrap();
    })
    .await;
    while !fleet.engines.iter().all(|e| e.version() == Some(2)) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// An engine dies during its streams and restarts with another version.
#[tokio::test(flavor = "multi_thread")]
async fn engine_restarts_with_another_version() {
    let fleet = Fleet::spawn(2, 2, slow_engines()).await.unwrap();
    run_disturbed(&fleet, async {
        wait_for_streams(&fleet).await;
        fleet.engines[0].kill();
        fleet.engines[0].restart(2).await.unwrap();
    })
    .await;
}

/// Streams are cut repeatedly, and the engines that continue them have newer weights.
#[tokio::test(flavor = "multi_thread")]
async fn streams_resume_on_newer_weights() {
    let fleet = Fleet::spawn(2, 3, slow_engines()).await.unwrap();
    slow_down(&fleet, &Faults { cut_after: 8, ..Faults::default() });
    run_weight_change(&fleet).await;
}

/// An engine that ignores fencing accepts an old order during its streams.
#[tokio::test(flavor = "multi_thread")]
async fn unfenced_engine_takes_an_old_order() {
    let settings = EngineSettings { fenced: false, ..slow_engines() };
    let fleet = Fleet::spawn(2, 2, settings).await.unwrap();
    slow_down(&fleet, &Faults::default());
    let versions = run_disturbed(&fleet, async {
        wait_for_streams(&fleet).await;
        let old = EngineOrder { generation: 0, version: 7 };
        for engine in &fleet.engines {
            let reply = EngineClient::default().order(engine.address(), old, TEST_TIMEOUT).await;
            assert!(reply.unwrap().taken);
        }
        while !fleet.engines.iter().any(|e| e.ledger().values().flatten().any(|t| t.version == 7)) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        fleet.engines.iter().for_each(|e| e.set_faults(Faults::default()));
    })
    .await;
    assert!(versions.contains(&7), "no stream contains the version of the old order: {versions:?}");
    while !fleet.engines.iter().all(|e| e.version() == Some(1)) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Engines send chunks without a version: none of those samples is delivered, and the step is
/// completed once the chunks have versions again.
#[tokio::test(flavor = "multi_thread")]
async fn chunks_without_a_version() {
    let fleet = Fleet::spawn(2, 2, slow_engines()).await.unwrap();
    let unlabelled = Faults { unlabelled: true, ..Faults::default() };
    fleet.engines.iter().for_each(|e| e.set_faults(unlabelled.clone()));
    run_disturbed(&fleet, async {
        wait_for_streams(&fleet).await;
        fleet.engines.iter().for_each(|e| e.set_faults(Faults::default()));
    })
    .await;
    let mut discarded = 0;
    for node in &fleet.nodes {
        let text = fleet.metrics(node).await;
        let value = text.lines().find_map(|l| l.strip_prefix("mulberry_samples_discarded_total "));
        discarded += value.unwrap().parse::<u64>().unwrap();
    }
    // Every engine streamed without versions when the faults were removed.
    assert!(discarded >= 2, "{discarded}");
}

/// Engines send each chunk twice: the node recognizes the duplicates by their offset.
#[tokio::test(flavor = "multi_thread")]
async fn chunks_come_twice() {
    let fleet = Fleet::spawn(2, 2, slow_engines()).await.unwrap();
    let twice = Faults { duplicate_chunks: true, ..Faults::default() };
    fleet.engines.iter().for_each(|e| e.set_faults(twice.clone()));
    run_disturbed(&fleet, std::future::ready(())).await;
}
