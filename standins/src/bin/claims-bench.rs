//! Measures claims, first with the claim journal alone, then with complete nodes over loopback.

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use clap::Parser;
use hdrhistogram::Histogram;
use mulberrycourse::decide::claim::{
    ClaimDecision, ClaimJournal, ClaimKey, ClaimRequest, JournalAction, SwapResult,
};
use mulberrycourse::edge::peer::encode;
use parking_lot::Mutex;
use standins::caller::send;
use standins::engine::EngineSettings;
use standins::fleet::Fleet;
use standins::platform::Faults;

/// Largest time that the histogram records.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Measures the throughput and latency of claims.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Args {
    /// Length of the measurement of each fleet size, in seconds.
    #[arg(long, default_value_t = 4)]
    seconds: u64,
    /// Fleet sizes, in nodes.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 3, 7])]
    nodes: Vec<usize>,
    /// Calls in flight at the same time.
    #[arg(long, default_value_t = 128)]
    callers: usize,
    /// Additional latency of each platform response, in milliseconds.
    #[arg(long, default_value_t = 2)]
    platform_ms: u64,
}

type BoxError = Box<dyn std::error::Error + Send + Sync>;

#[tokio::main]
#[allow(clippy::print_stdout, clippy::print_stderr)]
async fn main() -> ExitCode {
    let args = Args::parse();
    measure_journal();
    for nodes in &args.nodes {
        if let Err(e) = measure_fleet(&args, *nodes).await {
            eprintln!("claims-bench: {e}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

/// A claim request with a key, fingerprint and nonce that follow from `number`.
fn claim_request(number: u64) -> ClaimRequest {
    let key = ClaimKey::new("sync", "shop", &number.to_string());
    ClaimRequest { key, fingerprint: number, nonce: number, runner: "node-0".into() }
}

/// Measures one partition without I/O, with 2 claims per millisecond and a platform that
/// responds at once.
#[allow(clippy::print_stdout)]
fn measure_journal() {
    const CLAIM_COUNT: u64 = 100_000;
    let mut journal = ClaimJournal::new("node-0".into(), 1_000_000, 1);
    let (mut revision, mut swaps, mut bytes, mut granted, mut number) = (0, 0_u64, 0, 0_u64, 0);
    let before = resident_bytes();
    let start = Instant::now();
    let mut now = Duration::ZERO;
    while granted < CLAIM_COUNT {
        now += Duration::from_millis(1);
        for _ in 0..2 {
            number += 1;
            journal.request(claim_request(number), now);
        }
        journal.tick(now);
        loop {
            let actions = journal.take_actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                match action {
                    JournalAction::ReadHead => journal.head_read(Ok(None), now),
                    JournalAction::ReadSegments(_) => journal.segments_read(Ok(vec![]), now),
                    JournalAction::Swap { head, segment, .. } => {
                        revision += 1;
                        swaps += 1;
                        bytes += encode(&head).map_or(0, |b| b.len());
                        bytes += segment.and_then(|f| encode(&f).ok()).map_or(0, |b| b.len());
                        journal.swap_completed(SwapResult::Done(revision), now);
                    }
                    JournalAction::Reply { decision: ClaimDecision::Granted, .. } => granted += 1,
                    JournalAction::Reply { .. } => {}
                }
            }
        }
    }
    let elapsed = start.elapsed();
    println!(
        "journal: {granted} claims, {:.2} us each, {:.1} claims a write, {} bytes written a claim, \
         {} bytes of memory a claim",
        elapsed.as_secs_f64() * 1e6 / granted as f64,
        granted as f64 / swaps as f64,
        bytes as u64 / granted,
        resident_bytes().saturating_sub(before) / granted,
    );
}

/// The resident memory of this process, in bytes, for pages of 4,096 bytes.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text.split(' ').nth(1).and_then(|p| p.parse().ok()).unwrap_or_default();
    pages * 4_096
}

/// Measures calls with an idempotency key to a fleet of so many nodes.
#[allow(clippy::print_stdout)]
async fn measure_fleet(args: &Args, nodes: usize) -> Result<(), BoxError> {
    let fleet = Fleet::spawn(nodes, 0, EngineSettings::default()).await?;
    fleet.platform.set_faults(Faults { slow_ms: args.platform_ms, ..Faults::default() });
    let callers = fleet.client_addresses();
    let stop = Instant::now() + Duration::from_secs(args.seconds);
    let number = Arc::new(AtomicU64::new(0));
    let times = Arc::new(Mutex::new(Histogram::<u64>::new_with_max(MAX_LATENCY_US, 3)?));
    let before = write_count(&fleet);
    let call_until_stop = |index: usize| {
        let (number, times) = (number.clone(), times.clone());
        let node = callers[index % callers.len()];
        async move {
            let (mut answered, mut failed) = (0_u64, 0_u64);
            while Instant::now() < stop {
                let key = number.fetch_add(1, Ordering::Relaxed).to_string();
                let start = Instant::now();
                match send(node, "/sync/count", Some(&key), &key).await {
                    Ok(answer) if answer.status.is_success() => {
                        answered += 1;
                        times.lock().saturating_record(start.elapsed().as_micros() as u64);
                    }
                    Ok(_) | Err(_) => failed += 1,
                }
            }
            (answered, failed)
        }
    };
    let tasks: Vec<_> = (0..args.callers).map(|i| tokio::spawn(call_until_stop(i))).collect();
    let (mut answered, mut failed) = (0, 0);
    for task in tasks {
        let (task_answered, task_failed) = task.await?;
        answered += task_answered;
        failed += task_failed;
    }
    let seconds = args.seconds as f64;
    let runs: usize = fleet.sync.iter().map(|p| p.ledger().len()).sum();
    let times = times.lock();
    println!(
        "{nodes} nodes, {} callers: {:.0} calls/s, {:.0} platform writes/s, p50 {:.1} ms, \
         p99 {:.1} ms, {failed} refused, {answered} answered, {runs} runs",
        args.callers,
        answered as f64 / seconds,
        (write_count(&fleet) - before) as f64 / seconds,
        times.value_at_quantile(0.5) as f64 / 1e3,
        times.value_at_quantile(0.99) as f64 / 1e3,
    );
    Ok(())
}

/// The number of write transactions that the platform has served.
fn write_count(fleet: &Fleet) -> u64 {
    fleet.platform.call_counts().get("/v3/kv/txn").copied().unwrap_or_default()
}
