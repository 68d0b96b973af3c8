//! The daemon: one entry node.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use mulberrycourse::node::Node;
use mulberrycourse::settings::Settings;
use tokio::signal::unix::{SignalKind, signal};

/// An entry node of mulberrycourse.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run the node until it is told to stop (SIGTERM or SIGINT), then drain.
    Run {
        /// The settings, in INI.
        settings: PathBuf,
    },
    /// Check the settings and say what is wrong; start nothing.
    Check {
        /// The settings, in INI.
        settings: PathBuf,
    },
}

#[allow(clippy::print_stdout, clippy::print_stderr)]
fn main() -> ExitCode {
    let done = match Args::parse().command {
        Command::Run { settings } => run(settings),
        Command::Check { settings } => Settings::open(&settings)
            .map(|_| println!("{}: good", settings.display()))
            .map_err(Into::into),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("mulberryd: {e}");
            ExitCode::from(2)
        }
    }
}

type Failure = Box<dyn std::error::Error>;

fn run(path: PathBuf) -> Result<(), Failure> {
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
