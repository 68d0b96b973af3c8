//! "Not run" is reported only if it is true: the connection to the upstream is cut at each point,
//! and the answer to the caller is compared with what the upstream really ran.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use mulberrycourse::decide::{AttemptHistory, AttemptOutcome};
use mulberrycourse::edge::platform::{Vm, VmState};
use mulberrycourse::error::{Kind, Refusal, RunStatus};
use standins::caller::{CallResponse, complete, send, send_within};
use standins::engine::{EngineSettings, Faults};
use standins::fleet::{ANY_PORT, Fleet};
use standins::plain::{CutPoint, CuttingServer};
use tokio::task::JoinSet;

/// Larger than a socket buffer, so that the connection can be cut within the body.
const BODY_BYTES: usize = 300_000;

/// Starts one node with a server that cuts connections at this point, only once if `once` is set,
/// as the only upstream of both plain services.
async fn start_with_cutter(point: CutPoint, once: bool) -> (Fleet, CuttingServer) {
    let fleet = Fleet::spawn(1, 0, EngineSettings::default()).await.unwrap();
    let cutter = CuttingServer::bind(ANY_PORT, point, once).await.unwrap();
    let vm = |service: &str| Vm {
        name: format!("{service}-cut").into(),
        service: service.into(),
        zone: "heimdal".into(),
        address: cutter.address(),
        incarnation: 1,
        state: VmState::Live,
    };
    fleet.platform.set_vms(vec![vm("sync"), vm("stock")]);
    while fleet.nodes[0].routed_upstream_count() != 2 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    (fleet, cutter)
}

/// Returns what an answer reports about whether the request ran.
fn reported_run(answer: &CallResponse) -> RunStatus {
    answer.problem.as_ref().map_or(RunStatus::Ran, |p| p.run)
}

/// A call that may not be repeated is cut at each point, with and without a key: it is reported as
/// not run only if it did not run, and never runs twice.
#[tokio::test(flavor = "multi_thread")]
async fn connection_is_cut_at_each_point() {
    let mut cases = JoinSet::new();
    for point in CutPoint::ALL {
        for key in [None, Some("key")] {
            cases.spawn(check_cut(point, key));
        }
    }
    while let Some(case) = cases.join_next().await {
        case.unwrap();
    }
}

/// Checks one point of [`connection_is_cut_at_each_point`].
async fn check_cut(point: CutPoint, key: Option<&str>) {
    let body = "x".repeat(BODY_BYTES);
    let (fleet, cutter) = start_with_cutter(point, false).await;
    let node = fleet.nodes[0].client_address();
    let answer = send_within(node, "/sync/count", key, &body, Some(3_000)).await.unwrap();
    let (reported, ran) = (reported_run(&answer), cutter.run_count());
    assert!(ran <= 1, "{point:?} {key:?}: ran {ran} times");
    assert!(reported != RunStatus::NotRun || ran == 0, "{point:?} {key:?}: {answer:?}");
    let certain = match point {
        CutPoint::Connect => Some(RunStatus::NotRun),
        // Bytes may have been sent before the close was seen or not, so both answers are right.
        CutPoint::Accept => None,
        CutPoint::RequestHead
        | CutPoint::AfterRequestHead
        | CutPoint::RequestBody
        | CutPoint::AfterRequest => Some(RunStatus::Unknown),
        CutPoint::AfterRun | CutPoint::ResponseHead => Some(RunStatus::Unknown),
        CutPoint::AfterResponseHead | CutPoint::ResponseBody => Some(RunStatus::Unknown),
        CutPoint::Never => Some(RunStatus::Ran),
    };
    assert!(certain.is_none_or(|c| c == reported), "{point:?} {key:?}: {answer:?}");
}

/// A call that may be repeated breaks off after it ran; then the upstream stops listening and the
/// operating system refuses every retry. The last attempts did not run but the first did, so the
/// refusal must not report "not run".
#[tokio::test(flavor = "multi_thread")]
async fn earlier_attempt_makes_the_outcome_unknown() {
    for point in [CutPoint::AfterRun, CutPoint::ResponseHead, CutPoint::ResponseBody] {
        let (fleet, cutter) = start_with_cutter(point, true).await;
        let node = fleet.nodes[0].client_address();
        let answer = send_within(node, "/stock/items", None, "x", Some(2_000)).await.unwrap();
        assert_eq!(
            (reported_run(&answer), cutter.run_count()),
            (RunStatus::Unknown, 1),
            "{point:?}: {answer:?}"
        );
    }
}

/// The same for a completion: the engine accepts it and crashes before its first token, and the
/// retries find no engine.
#[tokio::test(flavor = "multi_thread")]
async fn earlier_completion_attempt_makes_the_outcome_unknown() {
    let restart = Duration::from_secs(3_600);
    let settings = EngineSettings { restart_time: restart, ..EngineSettings::default() };
    let fleet = Fleet::spawn(1, 1, settings).await.unwrap();
    let faults = Faults { poison: "palm".to_owned(), ..Faults::default() };
    fleet.engines[0].set_faults(faults);
    let body = r#"{"model":"patter","prompt":"palm","max_tokens":8}"#;
    let answer = complete(fleet.nodes[0].client_address(), body, 2_000).await.unwrap();
    assert_eq!(fleet.engines[0].started_requests(), 1);
    assert_eq!(reported_run(&answer), RunStatus::Unknown, "{answer:?}");
}

/// The deadline passes during an attempt that continues to run: the outcome is unknown.
#[tokio::test(flavor = "multi_thread")]
async fn deadline_passes_during_an_attempt() {
    let fleet = Fleet::spawn(1, 0, EngineSettings::default()).await.unwrap();
    let slow = standins::plain::Faults { slow_ms: 600_000, ..Default::default() };
    fleet.sync.iter().chain(&fleet.stock).for_each(|p| p.set_faults(slow.clone()));
    let node = fleet.nodes[0].client_address();
    let send_to = |path| send_within(node, path, None, "x", Some(4_000));
    let (sync, stock) = tokio::join!(send_to("/sync/count"), send_to("/stock/items"));
    for (answer, replicas) in [(sync, &fleet.sync), (stock, &fleet.stock)] {
        let ran: usize = replicas.iter().map(|p| p.ledger().len()).sum();
        let answer = answer.unwrap();
        assert_eq!((reported_run(&answer), ran), (RunStatus::Unknown, 1), "{answer:?}");
    }
}

/// A 503 of the upstream itself is its answer, and is forwarded unchanged.
#[tokio::test(flavor = "multi_thread")]
async fn error_status_of_an_upstream_is_forwarded() {
    let fleet = Fleet::spawn(1, 0, EngineSettings::default()).await.unwrap();
    let busy = standins::plain::Faults { status: 503, ..Default::default() };
    fleet.sync.iter().for_each(|p| p.set_faults(busy.clone()));
    let answer = send(fleet.nodes[0].client_address(), "/sync/count", None, "x").await.unwrap();
    assert_eq!((answer.status.as_u16(), answer.problem), (503, None));
    let runs: usize = fleet.sync.iter().map(|p| p.ledger().len()).sum();
    assert_eq!(runs, 1);
}

/// Whatever the order of the attempts, after one that may have run, no refusal of any kind reports
/// "not run".
#[test]
fn no_refusal_reports_not_run_after_a_possible_run() {
    let all = [
        AttemptOutcome::Unsent,
        AttemptOutcome::Refused,
        AttemptOutcome::Unknown,
        AttemptOutcome::Answered,
    ];
    for first in all {
        for second in all {
            let mut history = AttemptHistory::new();
            history.record(first);
            history.record(second);
            let certain = [first, second].iter().all(|o| o.run() == RunStatus::NotRun);
            for kind in Kind::ALL.iter().copied() {
                let refusal = history.adjust(Refusal::new(kind, "x"));
                assert!(
                    certain || refusal.run() != RunStatus::NotRun,
                    "{kind} {first:?} {second:?}"
                );
            }
        }
    }
    let without_attempts = AttemptHistory::new().adjust(Refusal::new(Kind::QueueFull, "x"));
    assert_eq!(
        (without_attempts.kind, without_attempts.run()),
        (Kind::QueueFull, RunStatus::NotRun)
    );
}
