//! Measures a mechanism at several sizes: `slope MECHANISM` writes
//! `bench/results/slopes/MECHANISM.csv`, `slope page` brings docs/CAPACITY.md up to date.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, ValueEnum};
use standins::slope::{Table, bundle, claims, entry, fleet, handover, refresh};

/// Measures what a mechanism costs, at several sizes.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Args {
    /// What to measure.
    mechanism: Mechanism,
    /// The sizes; without them, the mechanism's own.
    #[arg(long, value_delimiter = ',')]
    sizes: Vec<u32>,
    /// Seconds of each phase of `fleet`.
    #[arg(long, default_value_t = 8)]
    seconds: u64,
    /// The commit that is measured.
    #[arg(long, default_value = "unknown")]
    commit: String,
    /// Where the results go.
    #[arg(long, default_value = "bench/results/slopes")]
    results: PathBuf,
    /// The page with the tables.
    #[arg(long, default_value = "docs/CAPACITY.md")]
    page: PathBuf,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Mechanism {
    /// Control of a node at rest, at a rollout, in an outage, after it, and at a loss; by nodes.
    Fleet,
    /// Plain calls and streams; by upstreams.
    Entry,
    /// Calls that run at most once; by calls in flight.
    Claims,
    /// A trainer's step; by samples.
    Handover,
    /// The check of a bundle; by services.
    Bundle,
    /// No measurement: writes the tables of the page.
    Page,
}

impl Mechanism {
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

    fn sizes(self) -> &'static [u32] {
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

type Failure = Box<dyn std::error::Error>;

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
async fn run(args: Args) -> Result<(), Failure> {
    if args.mechanism == Mechanism::Page {
        return Ok(refresh(&args.page, &args.results)?);
    }
    let own = args.mechanism.sizes().to_vec();
    let sizes = if args.sizes.is_empty() { own } else { args.sizes.clone() };
    let exe = program()?;
    let mut table = Table { commit: args.commit.clone(), rows: Vec::new() };
    for size in sizes {
        let began = std::time::Instant::now();
        one(&args, &exe, size, &mut table).await?;
        println!("{} at {size}: {:.1} s", args.mechanism.name(), began.elapsed().as_secs_f64());
    }
    std::fs::create_dir_all(&args.results)?;
    table.write(&args.results.join(format!("{}.csv", args.mechanism.name())))?;
    Ok(())
}

async fn one(args: &Args, exe: &str, size: u32, table: &mut Table) -> Result<(), Failure> {
    match args.mechanism {
        Mechanism::Fleet => fleet(exe, size, Duration::from_secs(args.seconds), table).await?,
        Mechanism::Entry => entry(exe, size, table).await?,
        Mechanism::Claims => claims(exe, size, table).await?,
        Mechanism::Handover => handover(exe, size, table).await?,
        Mechanism::Bundle => bundle(size, table),
        Mechanism::Page => {}
    }
    Ok(())
}

/// The `mulberryd` that was built beside this program.
fn program() -> Result<String, Failure> {
    let program = std::env::current_exe()?.with_file_name("mulberryd");
    match program.exists() {
        true => Ok(program.display().to_string()),
        false => Err("build mulberryd first: cargo build --release --workspace".into()),
    }
}
