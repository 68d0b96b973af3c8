//! What a request, a claim, a sample and a bundle cost one node.

use std::time::Duration;

use futures_util::StreamExt;
use mulberrycourse::client::{CallerClient, TrainerClient};
use mulberrycourse::decide::GroupSpec;
use mulberrycourse::edge::http::JsonClient;
use tokio::time::Instant;

use super::{NodesError, Scrape, Table};
use crate::caller::completion_request;
use crate::daemon::{Daemon, TempDir};
use crate::engine::EngineSettings;
use crate::fleet::{Fleet, Signers, bundle_text};
use crate::trainer;

/// Calls of one measurement.
const CALLS: u32 = 2_000;
/// Calls in flight at the same time.
const TOGETHER: usize = 16;
/// How long a call may take.
const WAIT: Duration = Duration::from_secs(60);
/// Tokens of a streamed answer, at most.
const TOKENS: u32 = 256;
/// Samples in a group.
const GROUP: u32 = 16;

/// One node as a process, before stand-ins in this one.
struct One {
    fleet: Fleet,
    daemon: Daemon,
    fetch: JsonClient,
}

impl One {
    async fn spawn(exe: &str, engines: usize, each: EngineSettings) -> Result<Self, NodesError> {
        let folder = TempDir::create()?;
        let fleet = Fleet::spawn(0, engines, each).await?;
        let platform = fleet.platform.address();
        let daemon = Daemon::spawn(exe, "node", &fleet, platform, folder.path())?;
        let one = Self { fleet, daemon, fetch: JsonClient::default() };
        let caller = one.caller();
        while caller.call("stock", "/", "", None, WAIT).await.is_err() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(one)
    }

    fn caller(&self) -> CallerClient {
        CallerClient::new("shop".into(), vec![self.daemon.client_address])
    }

    /// Processor time of the node so far, in seconds, and its memory, in bytes.
    async fn spent(&self) -> Result<(f64, f64), NodesError> {
        let scrape = Scrape::of(self.daemon.admin_address, &self.fetch).await?;
        let seconds = scrape.get("mulberry_processor_seconds_total");
        Ok((seconds, scrape.get("mulberry_resident_bytes")))
    }
}

/// Processor time of a plain call and of a streamed token, by the number of upstreams.
pub async fn entry(exe: &str, size: u32, table: &mut Table) -> Result<(), NodesError> {
    let engines = EngineSettings { token_time: Duration::from_millis(1), ..Default::default() };
    let one = One::spawn(exe, size as usize, engines).await?;
    let caller = one.caller();
    let (before, _) = one.spent().await?;
    let calls = (0..CALLS).map(|_| caller.call("stock", "/items/1", "", None, WAIT));
    let whole = count(calls).await;
    let (after, _) = one.spent().await?;
    table.add("plain", size, "calls that were whole", f64::from(whole));
    table.add("plain", size, "processor microseconds a call", micros(after - before, whole));

    let (before, _) = one.spent().await?;
    let requests = (0..200).map(|n| completion_request("patter", n, TOKENS));
    let streams = requests.map(|request| {
        let caller = &caller;
        async move { caller.stream(&request, WAIT).await }
    });
    let answers: Vec<_> = futures_util::stream::iter(streams)
        .buffer_unordered(TOGETHER)
        .filter_map(|answer| async move { answer.ok() })
        .collect()
        .await;
    let tokens: usize = answers.iter().map(|a| a.body.iter().filter(|b| **b == b' ').count()).sum();
    let (after, resident) = one.spent().await?;
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

/// Platform writes and processor time of a call under an idempotency key, by the number of
/// calls in flight together.
pub async fn claims(exe: &str, size: u32, table: &mut Table) -> Result<(), NodesError> {
    let one = One::spawn(exe, 1, EngineSettings::default()).await?;
    let caller = one.caller();
    let writes = || {
        let calls = one.fleet.platform.call_counts();
        calls.get("/v3/kv/txn").copied().unwrap_or(0)
            + calls.get("/v3/kv/put").copied().unwrap_or(0)
    };
    let ((before, _), first, began) = (one.spent().await?, writes(), Instant::now());
    let calls = (0..CALLS).map(|n| {
        let caller = &caller;
        async move {
            let key = format!("key-{n}");
            caller.call("sync", "/count", "1", Some(&key), WAIT).await
        }
    });
    let answers: Vec<bool> = futures_util::stream::iter(calls)
        .buffer_unordered(size as usize)
        .map(|answer| answer.is_ok())
        .collect()
        .await;
    let whole = answers.iter().filter(|a| **a).count() as u32;
    let seconds = began.elapsed().as_secs_f64();
    let (after, _) = one.spent().await?;
    let written = (writes() - first) as f64;
    table.add("claims", size, "calls that were whole", f64::from(whole));
    table.add("claims", size, "platform writes a call", written / f64::from(whole.max(1)));
    table.add("claims", size, "calls a second", f64::from(whole) / seconds);
    table.add("claims", size, "processor microseconds a call", micros(after - before, whole));
    Ok(())
}

/// Memory and processor time of a trainer's step, by the number of its samples.
pub async fn handover(exe: &str, size: u32, table: &mut Table) -> Result<(), NodesError> {
    let engines = EngineSettings {
        token_time: Duration::from_micros(500),
        batch_size: 64,
        ..EngineSettings::default()
    };
    let one = One::spawn(exe, 16, engines).await?;
    let (before, at_rest) = one.spent().await?;
    let client = TrainerClient::new("coach".into(), vec![one.daemon.client_address]);
    let prompt = GroupSpec { prompt: "force card".to_owned(), samples: GROUP, max_tokens: 8 };
    let began = Instant::now();
    let run = trainer::run_steps(&client, 1, 1, &prompt, size / GROUP, Duration::ZERO);
    tokio::pin!(run);
    let mut most = at_rest;
    let tally = loop {
        tokio::select! {
            tally = run.as_mut() => break tally,
            () = tokio::time::sleep(Duration::from_millis(200)) => {
                most = most.max(one.spent().await?.1);
            }
        }
    };
    let (after, _) = one.spent().await?;
    let tally = tally.unwrap_or_default();
    table.add("step", size, "samples received", tally.samples as f64);
    table.add("step", size, "groups that came twice", tally.duplicates as f64);
    table.add("step", size, "seconds of the step", began.elapsed().as_secs_f64());
    table.add("step", size, "resident bytes above rest", most - at_rest);
    table.add("step", size, "processor microseconds a sample", micros(after - before, size));
    Ok(())
}

/// Size and processor time of a bundle's check, by the number of its services, callers and
/// trainers.
pub fn bundle(size: u32, table: &mut Table) {
    let mut whole = bundle_text(2, 1);
    for index in 0..size {
        whole.push_str(&format!("\n[service service-{index}]\nkind = plain\nqueue = 500\n"));
        whole.push_str(&format!("\n[caller caller-{index}]\nclass = live\nshare = 2\n"));
        whole.push_str(&format!("\n[trainer trainer-{index}]\nservice = patter\n"));
    }
    let signers = Signers::default();
    let operators = signers.operators();
    let envelope = signers.signed(2, &whole);
    let rounds = 50;
    let began = Instant::now();
    let good = (0..rounds).filter(|_| envelope.verify(&operators).is_ok()).count();
    let spent = began.elapsed().as_secs_f64();
    table.add("check", size, "checks that passed", good as f64);
    table.add("check", size, "processor microseconds a check", micros(spent, rounds));
    table.add("check", size, "bytes of the text", whole.len() as f64);
}

async fn count<F, T, E>(calls: impl Iterator<Item = F>) -> u32
where
    F: Future<Output = Result<T, E>>,
{
    let answers = futures_util::stream::iter(calls).buffer_unordered(TOGETHER);
    answers.filter(|a| std::future::ready(a.is_ok())).count().await as u32
}

fn micros(seconds: f64, count: u32) -> f64 {
    seconds * 1e6 / f64::from(count.max(1))
}
