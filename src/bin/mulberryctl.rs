//! The command-line client for operators.

use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use mulberrycourse::Name;
use mulberrycourse::bundle::{Envelope, Operators};
use mulberrycourse::cli::{
    BundleStore, CommandError, RolloutProgress, commands, follow_rollout, queries,
};
use mulberrycourse::edge::peer::NodeInfo;
use mulberrycourse::node::{RefusalCount, UpstreamState};
use mulberrycourse::settings::Document;
use serde::Serialize;

/// Operate mulberrycourse through its versioned, signed-off bundle.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Args {
    /// Output format of results.
    #[arg(long, global = true, default_value = "text")]
    output: Output,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum Output {
    Text,
    Json,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Make a signing key.
    Keygen {
        /// File to write the key to; it must not exist.
        file: PathBuf,
    },
    /// Check, propose, sign off, apply and show bundles.
    #[command(subcommand)]
    Bundle(BundleCommand),
    /// List the nodes that a node knows.
    Nodes {
        /// Admin address of a node.
        #[arg(long)]
        node: SocketAddr,
    },
    /// List the upstreams that a node knows.
    Upstreams {
        /// Admin address of a node.
        #[arg(long)]
        node: SocketAddr,
    },
    /// Follow a rollout until every node has the bundle and every engine its weight version.
    Rollout {
        /// Admin address of a node.
        #[arg(long)]
        node: SocketAddr,
        /// Number of the bundle to wait for [default: the latest one that any node has].
        #[arg(long)]
        number: Option<u64>,
        /// How long to wait, such as 30s; with 0s the state is read once.
        #[arg(long, default_value = "60s")]
        wait: humantime::Duration,
    },
    /// Print the completion script for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
    /// Show the number of refusals by kind.
    Refusals {
        /// Admin address of a node.
        #[arg(long)]
        node: SocketAddr,
    },
}

#[derive(Debug, Subcommand)]
enum BundleCommand {
    /// Check a bundle file.
    Check {
        /// The bundle file.
        file: PathBuf,
    },
    /// Propose a bundle and sign it.
    Propose {
        /// The bundle file.
        file: PathBuf,
        #[command(flatten)]
        signer: Signer,
    },
    /// Sign off a proposed bundle.
    SignOff {
        /// Number of the bundle.
        number: u64,
        #[command(flatten)]
        signer: Signer,
    },
    /// Activate a bundle that has been signed off.
    Apply {
        /// Number of the bundle.
        number: u64,
        /// Address of the platform.
        #[arg(long)]
        platform: SocketAddr,
        /// An INI file with the section `[operators]`, such as a node's settings.
        #[arg(long)]
        operators: PathBuf,
    },
    /// Show the active bundle or a proposed one.
    Show {
        /// Number of a proposed bundle [default: the active bundle].
        number: Option<u64>,
        /// Address of the platform.
        #[arg(long)]
        platform: SocketAddr,
    },
    /// Show the difference between the active bundle and a proposed one.
    Diff {
        /// Number of the bundle.
        number: u64,
        /// Address of the platform.
        #[arg(long)]
        platform: SocketAddr,
    },
    /// List the bundles that are or were active.
    History {
        /// Address of the platform.
        #[arg(long)]
        platform: SocketAddr,
    },
}

#[derive(Debug, clap::Args)]
struct Signer {
    /// Address of the platform.
    #[arg(long)]
    platform: SocketAddr,
    /// Your name as an operator.
    #[arg(long)]
    operator: Name,
    /// Your key file.
    #[arg(long)]
    key: PathBuf,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args = Args::parse();
    let output = args.output;
    match run(args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            print_error(output, &error);
            ExitCode::from(error.status())
        }
    }
}

async fn run(args: Args) -> Result<(), CommandError> {
    let output = args.output;
    match args.command {
        Command::Keygen { file } => {
            let public = commands::keygen(&file)?;
            print(output, &public, |p| p.clone());
        }
        Command::Bundle(command) => run_bundle(output, command).await?,
        Command::Nodes { node } => {
            let nodes: Vec<NodeInfo> = queries::state(node, "nodes").await?;
            print(output, &nodes, |all| lines(all, node_line));
        }
        Command::Upstreams { node } => {
            let upstreams: Vec<UpstreamState> = queries::state(node, "upstreams").await?;
            print(output, &upstreams, |all| lines(all, upstream_line));
        }
        Command::Rollout { node, number, wait } => {
            let rollout = follow_rollout(node, number, wait.into(), show_progress).await;
            end_progress();
            print(output, &rollout?, RolloutProgress::summary);
        }
        Command::Completions { shell } => {
            let mut command = Args::command();
            clap_complete::generate(shell, &mut command, "mulberryctl", &mut std::io::stdout());
        }
        Command::Refusals { node } => {
            let counts: Vec<RefusalCount> = queries::state(node, "refusals").await?;
            print(output, &counts, |all| lines(all, |c| format!("{} {}", c.kind, c.count)));
        }
    }
    Ok(())
}

async fn run_bundle(output: Output, command: BundleCommand) -> Result<(), CommandError> {
    match command {
        BundleCommand::Check { file } => {
            let bundle = queries::check(&file)?;
            print(output, &bundle.number, |n| format!("{}: bundle {n}, good", file.display()));
        }
        BundleCommand::Propose { file, signer } => {
            let key = commands::read_key(&signer.key)?;
            let store = BundleStore::new(signer.platform);
            let envelope = commands::propose(&store, &file, signer.operator, &key).await?;
            print(output, &envelope, |e| summary("proposed", e));
        }
        BundleCommand::SignOff { number, signer } => {
            let key = commands::read_key(&signer.key)?;
            let store = BundleStore::new(signer.platform);
            let envelope = commands::sign_off(&store, number, signer.operator, &key).await?;
            print(output, &envelope, |e| summary("signed off", e));
        }
        BundleCommand::Apply { number, platform, operators } => {
            let operators = read_operators(&operators)?;
            let envelope = commands::apply(&BundleStore::new(platform), number, &operators).await?;
            print(output, &envelope, |e| summary("in force", e));
        }
        BundleCommand::Show { number, platform } => {
            let envelope = queries::show(&BundleStore::new(platform), number).await?;
            print(output, &envelope, |e| format!("{}\n{}", summary("bundle", e), e.text));
        }
        BundleCommand::Diff { number, platform } => {
            let difference = queries::diff(&BundleStore::new(platform), number).await?;
            print(output, &difference, |d| d.clone());
        }
        BundleCommand::History { platform } => {
            let history = BundleStore::new(platform).history().await?;
            print(output, &history, |all| lines(all, |e| summary("bundle", e)));
        }
    }
    Ok(())
}

fn read_operators(path: &std::path::Path) -> Result<Operators, CommandError> {
    let doc = Document::open(path)?;
    Ok(Operators::read(doc.section("operators")?)?)
}

fn summary(what: &str, envelope: &Envelope) -> String {
    let signers: Vec<&str> = envelope.signatures.iter().map(|s| &*s.operator).collect();
    format!(
        "{what}: number {} digest {} by {} signed by {}",
        envelope.number,
        &hex::encode(envelope.digest())[..12],
        envelope.author,
        signers.join(", "),
    )
}

fn node_line(info: &NodeInfo) -> String {
    let NodeInfo { name, zone, callers, state, bundle, .. } = info;
    format!("{name} {zone} {callers} {state:?} bundle {bundle}")
}

fn upstream_line(upstream: &UpstreamState) -> String {
    let UpstreamState { name, service, zone, address, accepting, target_version } = upstream;
    let open = if *accepting { "open" } else { "closed" };
    let wanted = target_version.map(|v| format!(" wanted version {v}")).unwrap_or_default();
    format!("{name} {service} {zone} {address} {open}{wanted}")
}

fn lines<T>(all: &[T], line: impl Fn(&T) -> String) -> String {
    all.iter().map(line).collect::<Vec<_>>().join("\n")
}

#[allow(clippy::print_stdout)]
fn print<T: Serialize>(output: Output, value: &T, text: impl Fn(&T) -> String) {
    match output {
        Output::Text => println!("{}", text(value)),
        Output::Json => println!("{}", serde_json::to_string_pretty(value).unwrap_or_default()),
    }
}

/// Shows the progress on a single line that each call overwrites. Prints nothing if standard error is
/// not a terminal.
#[allow(clippy::print_stderr)]
fn show_progress(rollout: &RolloutProgress) {
    if std::io::stderr().is_terminal() {
        eprint!("\r\x1b[2K{}", rollout.summary());
    }
}

#[allow(clippy::print_stderr)]
fn end_progress() {
    if std::io::stderr().is_terminal() {
        eprintln!();
    }
}

#[allow(clippy::print_stderr)]
fn print_error(output: Output, error: &CommandError) {
    match output {
        Output::Text => eprintln!("mulberryctl: {error}"),
        Output::Json => {
            eprintln!("{}", serde_json::to_string_pretty(&error.report()).unwrap_or_default());
        }
    }
}
