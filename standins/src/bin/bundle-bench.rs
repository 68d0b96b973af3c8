//! Time from the platform's acceptance of a bundle until it is in force at all nodes,
//! with nodes and platform in one process over loopback. CSV on standard output.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::Parser;
use standins::engine::EngineSettings;
use standins::fleet::{Fleet, FleetError, bundle_text};

/// Pause between looks at the nodes: the resolution of the figures.
const POLL: Duration = Duration::from_millis(1);
/// Pause between two changes.
const PAUSE: Duration = Duration::from_millis(200);

/// Measures how fast bundles come into force.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Args {
    /// Numbers of nodes.
    #[arg(long, value_delimiter = ',', default_value = "7,24,64")]
    nodes: Vec<usize>,
    /// Changes that are measured at each.
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
        tokio::time::sleep(PAUSE).await;
        let before: u64 = calls(&fleet);
        let mut times = Vec::new();
        for number in 2..2 + args.changes {
            fleet.apply_bundle(number, &bundle_text(number, 1)).await?;
            let accepted = Instant::now();
            while fleet.nodes.iter().any(|n| n.bundle_number() < number) {
                tokio::time::sleep(POLL).await;
            }
            times.push(accepted.elapsed());
            tokio::time::sleep(PAUSE).await;
        }
        let calls = (calls(&fleet) - before) as f64 / args.changes as f64;
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

/// Calls for the bundle so far: reads, writes and watches.
fn calls(fleet: &Fleet) -> u64 {
    let calls = fleet.platform.call_counts();
    ["/v3/kv/range", "/v3/kv/txn", "/v3/watch"].iter().filter_map(|path| calls.get(*path)).sum()
}
