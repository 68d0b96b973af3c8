//! Cost of requests, claims, samples and bundles at a single node.

use std::time::Duration;

use futures_util::StreamExt;
use mulberrycourse::client::{CallerClient, TrainerClient};
use mulberrycourse::decide::GroupSpec;
use mulberrycourse::edge::http::JsonClient;
use tokio::time::Instant;

use super::{MeasureError, Scrape, Table};
use crate::caller::completion_request;
use crate::daemon::{Daemon, TempDir};
use crate::engine::EngineSettings;
use crate::fleet::{Fleet, Signers, bundle_text};
use crate::trainer;

/// Calls in one measurement.
const CALL_COUNT: u32 = 2_000;
/// Calls in flight at the same time, where the size does not set their number.
const MAX_CONCURRENT_CALLS: usize = 16;
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest number of tokens of a streamed answer.
const MAX_STREAM_TOKENS: u32 = 256;
/// Samples in a group.
const SAMPLES_PER_GROUP: u32 = 16;

/// One node as a separate process; the stand-ins around it run in this process.
struct SingleNode {
    fleet: Fleet,
    daemon: Daemon,
    client: JsonClient,
}

impl SingleNode {
    /// Starts the stand-ins and the node, and waits until a call succeeds.
    async fn spawn(
        exe: &str,
        engines: usize,
        settings: EngineSettings,
    ) -> Result<Self, MeasureError> {
        let folder = TempDir::create()?;
        let fleet = Fleet::spawn(0, engines, settings).await?;
        let platform = fleet.platform.address();
        let daemon = Daemon::spawn(exe, "node", &fleet, platform, folder.path())?;
        let node = Self { fleet, daemon, client: JsonClient::default() };
        let caller = node.caller();
        while caller.call("stock", "/", "", None, CALL_TIMEOUT).await.is_err() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(node)
    }

    /// A client of the node, as the caller `shop`.
    fn caller(&self) -> CallerClient {
        CallerClient::new("shop".into(), vec![self.daemon.client_address])
    }

    /// The processor time of the node so far, in seconds, and its resident memory, in bytes.
    async fn usage(&self) -> Result<(f64, f64), MeasureError> {
        let scrape = Scrape::fetch(self.daemon.admin_address, &self.client).await?;
        let seconds = scrape.get("mulberry_processor_seconds_total");
        Ok((seconds, scrape.get("mulberry_resident_bytes")))
    }
}

/// Measures the processor time of a plain call and of a streamed token, by the number of
/// upstreams.
pub async fn measure_requests(exe: &str, size: u32, table: &mut Table) -> Result<(), MeasureError> {
    let engines = EngineSettings { token_time: Duration::from_millis(1), ..Default::default() };
    let node = SingleNode::spawn(exe, size as usize, engines).await?;
    let caller = node.caller();
    let (before, _) = node.usage().await?;
    let calls = (0..CALL_COUNT).map(|_| caller.call("stock", "/items/1", "", None, CALL_TIMEOUT));
    let succeeded = count_ok(calls).await;
    let (after, _) = node.usage().await?;
    table.add("plain", size, "calls that were whole", f64::from(succeeded));
    table.add("plain", size, "processor microseconds a call", micros(after - before, succeeded));

    let (before, _) = node.usage().await?;
    let requests = (0..200).map(|n| completion_request("patter", n, MAX_STREAM_TOKENS));
    let streams = requests.map(|request| {
        let caller = &caller;
        async move { caller.stream(&request, CALL_TIMEOUT).await }
    });
    let answers: Vec<_> = futures_util::stream::iter(streams)
        .buffer_unordered(MAX_CONCURRENT_CALLS)
        .filter_map(|answer| async move { answer.ok() })
        .collect()
        .await;
    let tokens: usize = answers.iter().map(|a| a.body.iter().filter(|b| **b == b' ').count()).sum();
    let (after, resident) = node.usage().await?;
    table.add("stream", size, "streams that were whole", answers.len() as f64);
    table.add(
        "stream",
        size,
        "processor microseconds a token",
        micros(after - before, tokens as u32),
    );
    table.add("stream", size, "resident bytes", resident);
    Ok(())
}

/// Measures the platform writes and the processor time of a call with an idempotency key, by
/// the number of calls in flight.
pub async fn measure_claims(exe: &str, size: u32, table: &mut Table) -> Result<(), MeasureError> {
    let node = SingleNode::spawn(exe, 1, EngineSettings::default()).await?;
    let caller = node.caller();
    let writes = || {
        let calls = node.fleet.platform.call_counts();
        calls.get("/v3/kv/txn").copied().unwrap_or(0)
            + calls.get("/v3/kv/put").copied().unwrap_or(0)
    };
    let ((before, _), first, began) = (node.usage().await?, writes(), Instant::now());
    let calls = (0..CALL_COUNT).map(|n| {
        let caller = &caller;
        async move {
            let key = format!("key-{n}");
            caller.call("sync", "/count", "1", Some(&key), CALL_TIMEOUT).await
        }
    });
    let answers: Vec<bool> = futures_util::stream::iter(calls)
        .buffer_unordered(size as usize)
        .map(|answer| answer.is_ok())
        .collect()
        .await;
    let succeeded = answers.iter().filter(|a| **a).count() as u32;
    let seconds = began.elapsed().as_secs_f64();
    let (after, _) = node.usage().await?;
    let written = (writes() - first) as f64;
    table.add("claims", size, "calls that were whole", f64::from(succeeded));
    table.add("claims", size, "platform writes a call", written / f64::from(succeeded.max(1)));
    table.add("claims", size, "calls a second", f64::from(succeeded) / seconds);
    table.add("claims", size, "processor microseconds a call", micros(after - before, succeeded));
    Ok(())
}

/// Measures the memory and the processor time of a trainer's step, by the number of samples.
pub async fn measure_handover(exe: &str, size: u32, table: &mut Table) -> Result<(), MeasureError> {
    let engines = EngineSettings {
        token_time: Duration::from_micros(500),
        batch_size: 64,
        ..EngineSettings::default()
    };
    let node = SingleNode::spawn(exe, 16, engines).await?;
    let (before, at_rest) = node.usage().await?;
    let client = TrainerClient::new("coach".into(), vec![node.daemon.client_address]);
    let prompt =
        GroupSpec { prompt: "force card".to_owned(), samples: SAMPLES_PER_GROUP, max_tokens: 8 };
    let began = Instant::now();
    let run = trainer::run_steps(&client, 1, 1, &prompt, size / SAMPLES_PER_GROUP, Duration::ZERO);
    tokio::pin!(run);
    let mut peak = at_rest;
    let tally = loop {
        tokio::select! {
            tally = run.as_mut() => break tally,
            () = tokio::time::sleep(Duration::from_millis(200)) => {
                peak = peak.max(node.usage().await?.1);
            }
        }
    };
    let (after, _) = node.usage().await?;
    let tally = tally.unwrap_or_default();
    table.add("step", size, "samples received", tally.samples as f64);
    table.add("step", size, "groups that came twice", tally.duplicates as f64);
    table.add("step", size, "seconds of the step", began.elapsed().as_secs_f64());
    table.add("step", size, "resident bytes above rest", peak - at_rest);
    table.add("step", size, "processor microseconds a sample", micros(after - before, size));
    Ok(())
}

/// Measures the size of a bundle and the processor time of its verification, by the number of
/// services, callers and trainers.
pub fn measure_bundle(size: u32, table: &mut Table) {
    let mut text = bundle_text(2, 1);
    for index in 0..size {
        text.push_str(&format!("\n[service service-{index}]\nkind = plain\nqueue = 500\n"));
        text.push_str(&format!("\n[caller caller-{index}]\nclass = live\nshare = 2\n"));
        text.push_str(&format!("\n[trainer trainer-{index}]\nservice = patter\n"));
    }
    let signers = Signers::default();
    let operators = signers.operators();
    let envelope = signers.signed(2, &text);
    let rounds = 50;
    let began = Instant::now();
    let passed = (0..rounds).filter(|_| envelope.verify(&operators).is_ok()).count();
    let spent = began.elapsed().as_secs_f64();
    table.add("check", size, "checks that passed", passed as f64);
    table.add("check", size, "processor microseconds a check", micros(spent, rounds));
    table.add("check", size, "bytes of the text", text.len() as f64);
}

/// Runs the calls concurrently and returns how many succeeded.
async fn count_ok<F, T, E>(calls: impl Iterator<Item = F>) -> u32
where
    F: Future<Output = Result<T, E>>,
{
    let answers = futures_util::stream::iter(calls).buffer_unordered(MAX_CONCURRENT_CALLS);
    answers.filter(|a| std::future::ready(a.is_ok())).count().await as u32
}

/// Microseconds per item of a total time in seconds.
fn micros(seconds: f64, count: u32) -> f64 {
    seconds * 1e6 / f64::from(count.max(1))
}
