//! Measures the time from the acceptance of a bundle by the platform until it is in force at
//! all nodes. Nodes and platform run in one process and communicate over loopback. The results
//! are printed as CSV.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::Parser;
use standins::engine::EngineSettings;
use standins::fleet::{Fleet, FleetError, bundle_text};

/// Interval between two checks of the nodes, and so the resolution of the times.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Pause between two bundles.
const BUNDLE_PAUSE: Duration = Duration::from_millis(200);

/// Measures how fast bundles come into force at all nodes.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Args {
    /// Fleet sizes, in nodes.
    #[arg(long, value_delimiter = ',', default_value = "7,24,64")]
    nodes: Vec<usize>,
    /// Bundles applied at each size.
    #[arg(long, default_value_t = 20)]
    changes: u64,
}

#[tokio::main]
#[allow(clippy::print_stderr)]
async fn main() -> ExitCode {
    match run(&Args::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("bundle-bench: {e}");
            ExitCode::FAILURE
        }
    }
}

#[allow(clippy::print_stdout)]
async fn run(args: &Args) -> Result<(), FleetError> {
    println!("nodes,changes,median_ms,longest_ms,platform_calls_per_change");
    for nodes in &args.nodes {
        let fleet = Fleet::spawn(*nodes, 1, EngineSettings::default()).await?;
        tokio::time::sleep(BUNDLE_PAUSE).await;
        let before: u64 = bundle_calls(&fleet);
        let mut times = Vec::new();
        for number in 2..2 + args.changes {
            fleet.apply_bundle(number, &bundle_text(number, 1)).await?;
            let accepted = Instant::now();
            while fleet.nodes.iter().any(|n| n.bundle_number() < number) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            times.push(accepted.elapsed());
            tokio::time::sleep(BUNDLE_PAUSE).await;
        }
        let calls = (bundle_calls(&fleet) - before) as f64 / args.changes as f64;
        times.sort();
        let median = times.get(times.len() / 2).copied().unwrap_or_default();
        let longest = times.last().copied().unwrap_or_default();
        println!(
            "{nodes},{},{:.1},{:.1},{calls:.1}",
            args.changes,
            median.as_secs_f64() * 1e3,
            longest.as_secs_f64() * 1e3,
        );
    }
    Ok(())
}

/// The number of platform calls so far that read, write or watch the bundle.
fn bundle_calls(fleet: &Fleet) -> u64 {
    let calls = fleet.platform.call_counts();
    ["/v3/kv/range", "/v3/kv/txn", "/v3/watch"].iter().filter_map(|path| calls.get(*path)).sum()
}
