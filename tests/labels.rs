//! Promise 1 over real sockets: a sample's label is what the engines' own ledgers say.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::time::Duration;

use mulberrycourse::client::{StepReport, TrainerClient};
use mulberrycourse::decide::{GroupSpec, StepSpec};
use mulberrycourse::edge::upstream::{EngineClient, EngineOrder};
use standins::engine::{Engine, EngineSettings, Faults};
use standins::fleet::{Fleet, bundle};
use standins::trainer::{flat, tokens, truth};

/// Guards a test against hanging; no verdict depends on it.
const GUARD: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(5);

fn slow() -> EngineSettings {
    EngineSettings { token_time: Duration::from_millis(5), ..EngineSettings::default() }
}

fn spec(version: u64) -> StepSpec {
    let prompt = |g| GroupSpec { prompt: format!("palm {g}"), samples: 4, max_tokens: 160 };
    StepSpec { version, groups: (0..3).map(prompt).collect() }
}

/// Pulls the step while `disturb` runs, and checks each label against the ledgers.
/// Returns the versions that the labels name.
async fn disturbed(fleet: &Fleet, disturb: impl Future<Output = ()>) -> BTreeSet<u64> {
    let trainer = TrainerClient::new("coach".into(), fleet.callers());
    let spec = spec(1);
    let (report, ()) =
        tokio::time::timeout(GUARD, async { tokio::join!(trainer.step(1, &spec), disturb) })
            .await
            .unwrap();
    checked(fleet, &report.unwrap())
}

fn checked(fleet: &Fleet, report: &StepReport) -> BTreeSet<u64> {
    assert_eq!(report.doubled, 0);
    assert_eq!(report.groups.len(), 3);
    let mut versions = BTreeSet::new();
    for group in report.groups.values() {
        assert_eq!(group.samples.len(), 4);
        for sample in &group.samples {
            let slot = format!("coach/1/{}/{}", group.group, sample.index);
            assert_eq!(flat(&sample.label), truth(&fleet.engines, &slot), "label of {slot}");
            assert_eq!(flat(&sample.label).len(), tokens(sample), "tokens of {slot}");
            versions.extend(flat(&sample.label));
        }
    }
    versions
}

/// Waits until every engine streams.
async fn streaming(fleet: &Fleet) {
    while !fleet.engines.iter().all(|e| e.ledger().values().any(|tokens| tokens.len() > 5)) {
        tokio::time::sleep(POLL).await;
    }
}

/// Engines crawl, 100 ms a token, so that no stream is over before what is waited for.
fn crawl(fleet: &Fleet, faults: &Faults) {
    let crawl = Faults { slowdown: 20, ..faults.clone() };
    fleet.engines.iter().for_each(|e| e.set_faults(crawl.clone()));
}

/// Waits until every engine has made tokens with a version, and lets them run.
async fn made(fleet: &Fleet, version: u64) {
    let made = |e: &Engine| e.ledger().values().flatten().any(|t| t.version == version);
    while !fleet.engines.iter().all(made) {
        tokio::time::sleep(POLL).await;
    }
    fleet.engines.iter().for_each(|e| e.set_faults(Faults::default()));
}

/// Changes the weights in the middle of the streams, and checks that some met the change.
async fn changed(fleet: &Fleet) {
    let versions = disturbed(fleet, async {
        streaming(fleet).await;
        fleet.apply(2, &bundle(2, 2)).await.unwrap();
        made(fleet, 2).await;
    })
    .await;
    assert!(versions.contains(&2), "no stream met the change: {versions:?}");
}

/// The weights change in the middle of the streams.
#[tokio::test(flavor = "multi_thread")]
async fn weights_change_in_a_stream() {
    let fleet = Fleet::spawn(2, 2, slow()).await.unwrap();
    crawl(&fleet, &Faults::default());
    changed(&fleet).await;
}

/// A swap fails partway: its streams go on at the other engine.
#[tokio::test(flavor = "multi_thread")]
async fn swap_fails_partway() {
    let fleet = Fleet::spawn(2, 2, slow()).await.unwrap();
    fleet.engines[0].set_faults(Faults { fail_swaps: 2, ..Faults::default() });
    disturbed(&fleet, async {
        streaming(&fleet).await;
        fleet.apply(2, &bundle(2, 2)).await.unwrap();
    })
    .await;
    while !fleet.engines.iter().all(|e| e.version() == Some(2)) {
        tokio::time::sleep(POLL).await;
    }
}

/// An engine dies in the middle of its streams and comes back with another version.
#[tokio::test(flavor = "multi_thread")]
async fn engine_restarts_with_another_version() {
    let fleet = Fleet::spawn(2, 2, slow()).await.unwrap();
    disturbed(&fleet, async {
        streaming(&fleet).await;
        fleet.engines[0].kill();
        fleet.engines[0].restart(2).await.unwrap();
    })
    .await;
}

/// Streams are cut again and again, while the engines that go on with them have newer weights.
#[tokio::test(flavor = "multi_thread")]
async fn streams_resume_on_newer_weights() {
    let fleet = Fleet::spawn(2, 3, slow()).await.unwrap();
    crawl(&fleet, &Faults { cut_after: 8, ..Faults::default() });
    changed(&fleet).await;
}

/// An engine that ignores fencing takes an old order in the middle of its streams.
#[tokio::test(flavor = "multi_thread")]
async fn unfenced_engine_takes_an_old_order() {
    let settings = EngineSettings { fenced: false, ..slow() };
    let fleet = Fleet::spawn(2, 2, settings).await.unwrap();
    crawl(&fleet, &Faults::default());
    let versions = disturbed(&fleet, async {
        streaming(&fleet).await;
        let old = EngineOrder { generation: 0, version: 7 };
        for engine in &fleet.engines {
            let told = EngineClient::default().order(engine.address(), old, GUARD).await;
            assert!(told.unwrap().taken);
        }
        while !fleet.engines.iter().any(|e| e.ledger().values().flatten().any(|t| t.version == 7)) {
            tokio::time::sleep(POLL).await;
        }
        fleet.engines.iter().for_each(|e| e.set_faults(Faults::default()));
    })
    .await;
    assert!(versions.contains(&7), "no stream met the old order: {versions:?}");
    while !fleet.engines.iter().all(|e| e.version() == Some(1)) {
        tokio::time::sleep(POLL).await;
    }
}

/// Engines send chunks without a version: none of those samples is handed over, and the
/// step becomes whole once they name it again.
#[tokio::test(flavor = "multi_thread")]
async fn chunks_without_a_version() {
    let fleet = Fleet::spawn(2, 2, slow()).await.unwrap();
    let mute = Faults { unlabelled: true, ..Faults::default() };
    fleet.engines.iter().for_each(|e| e.set_faults(mute.clone()));
    disturbed(&fleet, async {
        streaming(&fleet).await;
        fleet.engines.iter().for_each(|e| e.set_faults(Faults::default()));
    })
    .await;
    let mut discarded = 0;
    for node in &fleet.nodes {
        let text = fleet.metrics(node).await;
        let value = text.lines().find_map(|l| l.strip_prefix("mulberry_samples_discarded_total "));
        discarded += value.unwrap().parse::<u64>().unwrap();
    }
    // Every engine streamed without versions when the faults were lifted.
    assert!(discarded >= 2, "{discarded}");
}

/// Engines send each chunk twice: the copies are told by their offset.
#[tokio::test(flavor = "multi_thread")]
async fn chunks_come_twice() {
    let fleet = Fleet::spawn(2, 2, slow()).await.unwrap();
    let twice = Faults { doubled: true, ..Faults::default() };
    fleet.engines.iter().for_each(|e| e.set_faults(twice.clone()));
    disturbed(&fleet, std::future::ready(())).await;
}
