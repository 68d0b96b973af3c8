//! Measures claims: the journal alone, then whole nodes on loopback.

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

/// The longest time that is told apart, in microseconds.
const LONGEST: u64 = 60_000_000;

/// Measures claims.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Args {
    /// Seconds for each number of nodes.
    #[arg(long, default_value_t = 4)]
    seconds: u64,
    /// Numbers of nodes.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 3, 7])]
    nodes: Vec<usize>,
    /// Calls in flight together.
    #[arg(long, default_value_t = 128)]
    callers: usize,
    /// Extra time of each answer of the platform, in milliseconds.
    #[arg(long, default_value_t = 2)]
    platform_ms: u64,
}

type Failure = Box<dyn std::error::Error + Send + Sync>;

#[tokio::main]
#[allow(clippy::print_stdout, clippy::print_stderr)]
async fn main() -> ExitCode {
    let args = Args::parse();
    journal();
    for nodes in &args.nodes {
        if let Err(e) = fleet(&args, *nodes).await {
            eprintln!("claims-bench: {e}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn ask(number: u64) -> ClaimRequest {
    let key = ClaimKey::new("sync", "shop", &number.to_string());
    ClaimRequest { key, fingerprint: number, nonce: number, runner: "node-0".into() }
}

/// One partition without I/O: 2 claims a millisecond, a platform that answers at once.
#[allow(clippy::print_stdout)]
fn journal() {
    const CLAIMS: u64 = 100_000;
    let mut journal = ClaimJournal::new("node-0".into(), 1_000_000, 1);
    let (mut revision, mut swaps, mut bytes, mut granted, mut number) = (0, 0_u64, 0, 0_u64, 0);
    let before = resident();
    let start = Instant::now();
    let mut now = Duration::ZERO;
    while granted < CLAIMS {
        now += Duration::from_millis(1);
        for _ in 0..2 {
            number += 1;
            journal.request(ask(number), now);
        }
        journal.tick(now);
        loop {
            let steps = journal.take_actions();
            if steps.is_empty() {
                break;
            }
            for step in steps {
                match step {
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
    let took = start.elapsed();
    println!(
        "journal: {granted} claims, {:.2} us each, {:.1} claims a write, {} bytes written a claim, \
         {} bytes of memory a claim",
        took.as_secs_f64() * 1e6 / granted as f64,
        granted as f64 / swaps as f64,
        bytes as u64 / granted,
        resident().saturating_sub(before) / granted,
    );
}

/// Resident bytes of this process.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text.split(' ').nth(1).and_then(|p| p.parse().ok()).unwrap_or_default();
    pages * 4_096
}

#[allow(clippy::print_stdout)]
async fn fleet(args: &Args, nodes: usize) -> Result<(), Failure> {
    let fleet = Fleet::spawn(nodes, 0, EngineSettings::default()).await?;
    fleet.platform.set_faults(Faults { slow_ms: args.platform_ms, ..Faults::default() });
    let callers = fleet.client_addresses();
    let stop = Instant::now() + Duration::from_secs(args.seconds);
    let number = Arc::new(AtomicU64::new(0));
    let times = Arc::new(Mutex::new(Histogram::<u64>::new_with_max(LONGEST, 3)?));
    let before = writes(&fleet);
    let one = |index: usize| {
        let (number, times) = (number.clone(), times.clone());
        let node = callers[index % callers.len()];
        async move {
            let (mut good, mut other) = (0_u64, 0_u64);
            while Instant::now() < stop {
                let key = number.fetch_add(1, Ordering::Relaxed).to_string();
                let start = Instant::now();
                match send(node, "/sync/count", Some(&key), &key).await {
                    Ok(answer) if answer.status.is_success() => {
                        good += 1;
                        times.lock().saturating_record(start.elapsed().as_micros() as u64);
                    }
                    Ok(_) | Err(_) => other += 1,
                }
            }
            (good, other)
        }
    };
    let tasks: Vec<_> = (0..args.callers).map(|i| tokio::spawn(one(i))).collect();
    let (mut good, mut other) = (0, 0);
    for task in tasks {
        let (g, o) = task.await?;
        good += g;
        other += o;
    }
    let seconds = args.seconds as f64;
    let runs: usize = fleet.sync.iter().map(|p| p.ledger().len()).sum();
    let times = times.lock();
    println!(
        "{nodes} nodes, {} callers: {:.0} calls/s, {:.0} platform writes/s, p50 {:.1} ms, \
         p99 {:.1} ms, {other} refused, {good} answered, {runs} runs",
        args.callers,
        good as f64 / seconds,
        (writes(&fleet) - before) as f64 / seconds,
        times.value_at_quantile(0.5) as f64 / 1e3,
        times.value_at_quantile(0.99) as f64 / 1e3,
    );
    Ok(())
}

fn writes(fleet: &Fleet) -> u64 {
    fleet.platform.call_counts().get("/v3/kv/txn").copied().unwrap_or_default()
}
