//! The daemon that runs one node.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use mulberrycourse::node::Node;
use mulberrycourse::settings::Settings;
use tokio::signal::unix::{SignalKind, signal};

/// A node of mulberrycourse.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run the node until SIGTERM or SIGINT, then drain.
    Run {
        /// The settings file, in INI format.
        settings: PathBuf,
    },
    /// Check the settings and report errors, without starting the node.
    Check {
        /// The settings file, in INI format.
        settings: PathBuf,
    },
}

#[allow(clippy::print_stdout, clippy::print_stderr)]
fn main() -> ExitCode {
    let result = match Args::parse().command {
        Command::Run { settings } => run(settings),
        Command::Check { settings } => Settings::open(&settings)
            .map(|_| println!("{}: good", settings.display()))
            .map_err(Into::into),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("mulberryd: {e}");
            ExitCode::from(2)
        }
    }
}

type BoxError = Box<dyn std::error::Error>;

fn run(path: PathBuf) -> Result<(), BoxError> {
    let settings = Settings::open(&path)?;
    mulberrycourse::logs::start(&settings.log_level)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let node = Node::spawn(settings).await?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        match node.stop().await {
            true => Ok(()),
            false => Err("some requests in flight were cut off".into()),
        }
    })
}
