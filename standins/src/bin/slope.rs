//! Measures the cost of a mechanism at several sizes. `slope MECHANISM` writes
//! `bench/results/slopes/MECHANISM.csv`; `slope page` updates the tables of docs/CAPACITY.md.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, ValueEnum};
use standins::slope::{
    Table, measure_bundle, measure_claims, measure_fleet, measure_handover, measure_requests,
    refresh_page,
};

/// Measures the cost of a mechanism at several sizes.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Args {
    /// What to measure.
    mechanism: Mechanism,
    /// Sizes to measure; by default, those of the mechanism.
    #[arg(long, value_delimiter = ',')]
    sizes: Vec<u32>,
    /// Length of the measurement of each phase of `fleet`, in seconds.
    #[arg(long, default_value_t = 8)]
    seconds: u64,
    /// Commit that is measured, for the results.
    #[arg(long, default_value = "unknown")]
    commit: String,
    /// Folder of the result files.
    #[arg(long, default_value = "bench/results/slopes")]
    results: PathBuf,
    /// Page whose tables `page` updates.
    #[arg(long, default_value = "docs/CAPACITY.md")]
    page: PathBuf,
}

/// A mechanism to measure, or the update of the page.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Mechanism {
    /// Control plane of a node: steady, at a rollout, during and after an outage of the platform,
    /// and after the loss of a zone; by the number of nodes.
    Fleet,
    /// Plain calls and streams; by the number of upstreams.
    Entry,
    /// Calls that run at most once; by the number of calls in flight.
    Claims,
    /// A trainer's step; by the number of samples.
    Handover,
    /// Verification of a bundle; by the number of services.
    Bundle,
    /// No measurement; updates the tables of the page.
    Page,
}

impl Mechanism {
    /// The name of the results file, without extension.
    fn name(self) -> &'static str {
        match self {
            Self::Fleet => "fleet",
            Self::Entry => "entry",
            Self::Claims => "claims",
            Self::Handover => "handover",
            Self::Bundle => "bundle",
            Self::Page => "page",
        }
    }

    /// The sizes that are measured unless the command line names others.
    fn default_sizes(self) -> &'static [u32] {
        match self {
            Self::Fleet => &[4, 16, 48],
            Self::Entry => &[4, 16, 64],
            Self::Claims => &[1, 8, 64],
            Self::Handover => &[512, 2_048, 8_192],
            Self::Bundle => &[16, 64, 256, 1_024],
            Self::Page => &[],
        }
    }
}

type BoxError = Box<dyn std::error::Error>;

#[tokio::main]
#[allow(clippy::print_stderr)]
async fn main() -> ExitCode {
    match run(Args::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("slope: {e}");
            ExitCode::FAILURE
        }
    }
}

#[allow(clippy::print_stdout)]
async fn run(args: Args) -> Result<(), BoxError> {
    if args.mechanism == Mechanism::Page {
        return Ok(refresh_page(&args.page, &args.results)?);
    }
    let default = args.mechanism.default_sizes().to_vec();
    let sizes = if args.sizes.is_empty() { default } else { args.sizes.clone() };
    let exe = mulberryd_path()?;
    let mut table = Table { commit: args.commit.clone(), rows: Vec::new() };
    for size in sizes {
        let began = std::time::Instant::now();
        measure(&args, &exe, size, &mut table).await?;
        println!("{} at {size}: {:.1} s", args.mechanism.name(), began.elapsed().as_secs_f64());
    }
    std::fs::create_dir_all(&args.results)?;
    table.write(&args.results.join(format!("{}.csv", args.mechanism.name())))?;
    Ok(())
}

/// Measures the selected mechanism at one size.
async fn measure(args: &Args, exe: &str, size: u32, table: &mut Table) -> Result<(), BoxError> {
    match args.mechanism {
        Mechanism::Fleet => {
            measure_fleet(exe, size, Duration::from_secs(args.seconds), table).await?
        }
        Mechanism::Entry => measure_requests(exe, size, table).await?,
        Mechanism::Claims => measure_claims(exe, size, table).await?,
        Mechanism::Handover => measure_handover(exe, size, table).await?,
        Mechanism::Bundle => measure_bundle(size, table),
        Mechanism::Page => {}
    }
    Ok(())
}

/// The path of the `mulberryd` that was built into the same folder as this program.
fn mulberryd_path() -> Result<String, BoxError> {
    let path = std::env::current_exe()?.with_file_name("mulberryd");
    match path.exists() {
        true => Ok(path.display().to_string()),
        false => {
            Err(format!("{} does not exist: run cargo build --release --workspace", path.display())
                .into())
        }
    }
}
