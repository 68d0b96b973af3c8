//! Runs scenarios of load against the decisions: `experiment SCENARIO...`.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Parser;
use standins::experiment::{
    Deployment, PolicyKind, Row, Scenario, plot_frontier, plot_goodput, rows, run, write_csv,
    write_table,
};

type Failed = Box<dyn std::error::Error + Send + Sync>;

/// Runs the decisions under load, on virtual time, against a model of upstreams and callers.
#[derive(Debug, Parser)]
struct Args {
    /// Scenarios: files, or names of files in the folder `bench`.
    #[arg(required = true)]
    scenarios: Vec<PathBuf>,
    /// How many seeds, from 1 on.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// One policy only.
    #[arg(long, value_enum)]
    policy: Option<PolicyKind>,
    /// The deployments.
    #[arg(long, default_value = "bench/deployments.ini")]
    deployments: PathBuf,
    /// Where every run is written.
    #[arg(long)]
    csv: Option<PathBuf>,
    /// Where the plot of live answers is written.
    #[arg(long)]
    plot: Option<PathBuf>,
    /// Where the plot of idle time against staleness is written.
    #[arg(long)]
    frontier: Option<PathBuf>,
}

fn main() -> ExitCode {
    match measure(&Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            let _ = writeln!(std::io::stderr(), "experiment: {e}");
            ExitCode::FAILURE
        }
    }
}

fn measure(args: &Args) -> Result<(), Failed> {
    let deployments = Deployment::open(&args.deployments)?;
    let policies = match args.policy {
        Some(one) => vec![one],
        None => vec![PolicyKind::Ours, PolicyKind::Naive],
    };
    let mut all: Vec<Row> = Vec::new();
    for path in &args.scenarios {
        let scenario = Scenario::open(&located(path))?;
        for deployment in &deployments {
            for scale in &scenario.scales {
                for policy in &policies {
                    for seed in 1..=args.seeds {
                        let result = run(&scenario, deployment, *scale, *policy, seed);
                        let (name, place) = (&scenario.name, &deployment.name);
                        all.extend(rows(&result, name, place, *scale, *policy, seed));
                    }
                }
            }
        }
    }
    write_table(&mut std::io::stdout().lock(), &all)?;
    if let Some(path) = &args.csv {
        write_csv(path, &all)?;
    }
    if let Some(path) = &args.plot {
        plot_goodput(path, &all)?;
    }
    if let Some(path) = &args.frontier {
        plot_frontier(path, &all)?;
    }
    Ok(())
}

fn located(path: &Path) -> PathBuf {
    if path.exists() {
        return path.to_owned();
    }
    Path::new("bench").join(path).with_extension("ini")
}
