//! Callers receive the complete answer to their own request over sockets, although engines break,
//! repeat or omit parts of their streams.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use mulberrycourse::client::CallerClient;
use mulberrycourse::edge::upstream::{CompletionRequest, PriorOutput};
use standins::caller::{completion_request, expected_text};
use standins::engine::{EngineSettings, Faults, token_text};
use standins::fleet::Fleet;

/// The timeout of a caller for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the answer to a request on a new fleet of two engines that all have these faults.
async fn answer_with_faults(faults: &Faults, request: &CompletionRequest) -> String {
    let fleet = Fleet::spawn(1, 2, EngineSettings::default()).await.unwrap();
    fleet.engines.iter().for_each(|e| e.set_faults(faults.clone()));
    let shop = CallerClient::new("shop".into(), fleet.client_addresses());
    let answer = shop.stream(request, CALL_TIMEOUT).await.unwrap();
    String::from_utf8(answer.body.to_vec()).unwrap()
}

/// Engines send every chunk twice: the answer has each token once.
#[tokio::test(flavor = "multi_thread")]
async fn chunks_are_repeated() {
    let request = completion_request("double lift", 1, 40);
    let faults = Faults { duplicate_chunks: true, ..Faults::default() };
    assert_eq!(answer_with_faults(&faults, &request).await, expected_text(&request));
}

/// The last chunk arrives but the end of the stream does not: the answer is complete nevertheless.
#[tokio::test(flavor = "multi_thread")]
async fn end_of_stream_is_missing() {
    let request = completion_request("false cut", 2, 40);
    let faults = Faults { omit_end: true, ..Faults::default() };
    assert_eq!(answer_with_faults(&faults, &request).await, expected_text(&request));
}

/// The upstream body is cut after every 15 tokens: each engine continues where the last stopped.
#[tokio::test(flavor = "multi_thread")]
async fn body_is_truncated() {
    let request = completion_request("top change", 3, 60);
    let faults = Faults { cut_after: 15, ..Faults::default() };
    assert_eq!(answer_with_faults(&faults, &request).await, expected_text(&request));
}

/// A caller that has a part of the answer requests the rest, and the stream of the engine that
/// continues it is cut: no token is lost or repeated.
#[tokio::test(flavor = "multi_thread")]
async fn continued_answer_is_truncated() {
    let request = completion_request("side steal", 4, 60);
    let prior: String = (0..5).map(|i| token_text(&request.prompt, request.seed, i)).collect();
    let rest = expected_text(&request).strip_prefix(&prior).unwrap().to_owned();
    let request =
        CompletionRequest { prior: Some(PriorOutput { text: prior, tokens: 5 }), ..request };
    let faults = Faults { cut_after: 15, ..Faults::default() };
    assert_eq!(answer_with_faults(&faults, &request).await, rest);
}

/// An event of an engine is not JSON: the tokens before it are kept, and another attempt
/// continues.
#[tokio::test(flavor = "multi_thread")]
async fn event_is_malformed() {
    let fleet = Fleet::spawn(1, 2, EngineSettings::default()).await.unwrap();
    fleet.engines[0].set_faults(Faults { malformed_at: 7, ..Faults::default() });
    let shop = CallerClient::new("shop".into(), fleet.client_addresses());
    for seed in 0..4 {
        let request = completion_request("pass", seed, 40);
        let answer = shop.stream(&request, CALL_TIMEOUT).await.unwrap();
        assert_eq!(answer.body, expected_text(&request));
    }
}

/// Two callers use the same request id at the same time: each gets its own answer.
#[tokio::test(flavor = "multi_thread")]
async fn request_id_is_used_by_two_callers() {
    let fleet = Fleet::spawn(2, 1, EngineSettings::default()).await.unwrap();
    let check_answer = |prompt, seed| {
        let request =
            CompletionRequest { request_id: "one".into(), ..completion_request(prompt, seed, 60) };
        let shop = CallerClient::new("shop".into(), fleet.client_addresses());
        async move {
            let answer = shop.stream(&request, CALL_TIMEOUT).await.unwrap();
            assert_eq!(answer.body, expected_text(&request));
        }
    };
    tokio::join!(check_answer("riffle", 1), check_answer("overhand", 2));
    // The engine received two ids, neither of which is the callers' id.
    let ids: Vec<String> = fleet.engines[0].ledger().into_keys().collect();
    assert!(ids.len() == 2 && ids.iter().all(|id| !id.starts_with("one")), "{ids:?}");
}

/// The upstream body is cut after every 2 tokens, far more often than a request without progress
/// has attempts: each attempt makes progress, and the answer is completed.
#[tokio::test(flavor = "multi_thread")]
async fn body_is_truncated_repeatedly() {
    let request = completion_request("color change", 3, 80);
    let faults = Faults { cut_after: 2, ..Faults::default() };
    assert_eq!(answer_with_faults(&faults, &request).await, expected_text(&request));
}
