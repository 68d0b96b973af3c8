//! Simulates load scenarios: `experiment SCENARIO...`.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Parser;
use standins::experiment::{
    Deployment, PolicyKind, ResultRow, Scenario, plot_frontier, plot_goodput, result_rows,
    run_scenario, write_csv, write_table,
};

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Simulates request dispatch under load, on virtual time, with modelled upstreams and callers.
#[derive(Debug, Parser)]
struct Args {
    /// Scenario files, or names of scenarios in the folder `bench`.
    #[arg(required = true)]
    scenarios: Vec<PathBuf>,
    /// Number of seeds; they are numbered from 1.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Run only this policy; without it, all run.
    #[arg(long, value_enum)]
    policy: Option<PolicyKind>,
    /// File with the deployments.
    #[arg(long, default_value = "bench/deployments.ini")]
    deployments: PathBuf,
    /// CSV file for the results of every run.
    #[arg(long)]
    csv: Option<PathBuf>,
    /// SVG file for the plot of answered live requests.
    #[arg(long)]
    plot: Option<PathBuf>,
    /// SVG file for the plot of idle time against staleness.
    #[arg(long)]
    frontier: Option<PathBuf>,
}

fn main() -> ExitCode {
    match run_scenarios(&Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            let _ = writeln!(std::io::stderr(), "experiment: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run_scenarios(args: &Args) -> Result<(), BoxError> {
    let deployments = Deployment::read_file(&args.deployments)?;
    let policies = match args.policy {
        Some(one) => vec![one],
        None => vec![PolicyKind::Ours, PolicyKind::Naive],
    };
    let mut all: Vec<ResultRow> = Vec::new();
    for path in &args.scenarios {
        let scenario = Scenario::read_file(&scenario_path(path))?;
        for deployment in &deployments {
            for scale in &scenario.scales {
                for policy in &policies {
                    for seed in 1..=args.seeds {
                        let result = run_scenario(&scenario, deployment, *scale, *policy, seed);
                        let (scenario, deployment) = (&scenario.name, &deployment.name);
                        all.extend(result_rows(
                            &result, scenario, deployment, *scale, *policy, seed,
                        ));
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

/// Resolves the name of a scenario to its file in the folder `bench`.
fn scenario_path(path: &Path) -> PathBuf {
    if path.exists() {
        return path.to_owned();
    }
    Path::new("bench").join(path).with_extension("ini")
}
