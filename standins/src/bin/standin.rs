//! One stand-in as a process of its own.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};
use mulberrycourse::Name;
use mulberrycourse::client::{CallerClient, CallerResponse, TrainerClient};
use mulberrycourse::decide::GroupSpec;
use mulberrycourse::edge::platform::{Vm, VmState};
use standins::caller::completion_request;
use standins::engine::{Engine, EngineSettings};
use standins::plain::PlainService;
use standins::platform::Platform;
use standins::trainer;
use standins::weights::WeightStore;

/// How long a caller waits.
const WAIT: Duration = Duration::from_secs(10);

/// A stand-in for one of the systems around mulberrycourse.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// The platform: key-value service and list of VMs.
    Platform {
        /// Where it listens.
        listen: SocketAddr,
        /// The upstream VMs in its list, as SERVICE=ADDRESS; may be given several times.
        #[arg(long)]
        vm: Vec<Listed>,
    },
    /// A caller: makes one call and prints the answer.
    Call {
        /// Its name in the bundle.
        name: Name,
        /// Nodes to ask first.
        #[arg(long, required = true, value_delimiter = ',')]
        nodes: Vec<SocketAddr>,
        /// The service; a model is asked for a completion of the path.
        service: String,
        /// The path.
        path: String,
        /// The idempotency key.
        #[arg(long)]
        key: Option<String>,
    },
    /// A model engine.
    Engine {
        /// Where it listens.
        listen: SocketAddr,
        /// The weight version that it starts with.
        #[arg(long, default_value_t = 1)]
        version: u64,
        /// The weight store.
        #[arg(long)]
        store: Option<SocketAddr>,
        /// Take orders with an old fencing number too.
        #[arg(long)]
        unfenced: bool,
        /// Milliseconds for a token.
        #[arg(long, default_value_t = 5)]
        token_ms: u64,
    },
    /// A plain service.
    Plain {
        /// Where it listens.
        listen: SocketAddr,
    },
    /// A weight store.
    Weights {
        /// Where it listens.
        listen: SocketAddr,
        /// Versions that it hands out in a second.
        #[arg(long, default_value_t = 4.0)]
        rate: f64,
    },
    /// A trainer: runs some steps and prints what it counted.
    Trainer {
        /// Its name in the bundle.
        name: Name,
        /// Nodes to ask first.
        #[arg(long, required = true, value_delimiter = ',')]
        nodes: Vec<SocketAddr>,
        /// Its version at the first step.
        #[arg(long, default_value_t = 1)]
        first: u64,
        /// How many steps.
        #[arg(long, default_value_t = 1)]
        steps: u64,
        /// Groups in a step.
        #[arg(long, default_value_t = 8)]
        groups: u32,
        /// Samples in a group.
        #[arg(long, default_value_t = 4)]
        samples: u32,
    },
}

type Failure = Box<dyn std::error::Error>;

/// An upstream VM on the command line.
#[derive(Debug, Clone)]
struct Listed {
    service: Name,
    address: SocketAddr,
}

impl std::str::FromStr for Listed {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (service, address) = text.split_once('=').ok_or("expected SERVICE=ADDRESS")?;
        let address = address.parse().map_err(|e| format!("{address}: {e}"))?;
        Ok(Self { service: service.into(), address })
    }
}

fn vms(listed: &[Listed]) -> Vec<Vm> {
    let zones = ["gloshaugen", "elgeseter", "heimdal"];
    let vm = |(index, Listed { service, address }): (usize, &Listed)| Vm {
        name: format!("{service}-{index}").into(),
        service: service.clone(),
        zone: zones[index % zones.len()].into(),
        address: *address,
        incarnation: 1,
        state: VmState::Live,
    };
    listed.iter().enumerate().map(vm).collect()
}

#[tokio::main]
#[allow(clippy::print_stdout, clippy::print_stderr)]
async fn main() -> ExitCode {
    match run(Args::parse().command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("standin: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> Result<(), Failure> {
    match command {
        Command::Platform { listen, vm } => {
            let platform = Platform::bind(listen).await?;
            platform.set_vms(vms(&vm));
            serve(platform.address()).await
        }
        Command::Engine { listen, version, store, unfenced, token_ms } => {
            let settings = EngineSettings {
                version,
                weight_store: store,
                fenced: !unfenced,
                token_time: Duration::from_millis(token_ms),
                ..EngineSettings::default()
            };
            let engine = Engine::bind(listen, settings).await?;
            serve(engine.address()).await
        }
        Command::Plain { listen } => {
            let plain = PlainService::bind(listen).await?;
            serve(plain.address()).await
        }
        Command::Weights { listen, rate } => {
            let store = WeightStore::bind(listen, rate).await?;
            serve(store.address()).await
        }
        Command::Call { name, nodes, service, path, key } => {
            let caller = CallerClient::new(name, nodes);
            let answer = match service.as_str() {
                "patter" => caller.stream(&completion_request(&path, 1, 24), WAIT).await?,
                plain => caller.call(plain, &path, "", key.as_deref(), WAIT).await?,
            };
            say(&answer);
            Ok(())
        }
        Command::Trainer { name, nodes, first, steps, groups, samples } => {
            let prompt = GroupSpec { prompt: format!("{name} practises"), samples, max_tokens: 32 };
            let client = TrainerClient::new(name, nodes);
            let train = Duration::from_millis(100);
            let tally = trainer::run_steps(&client, first, steps, &prompt, groups, train).await?;
            print(&tally);
            Ok(())
        }
    }
}

/// Says where it listens, and serves until the process is ended.
#[allow(clippy::print_stdout)]
async fn serve(address: SocketAddr) -> Result<(), Failure> {
    println!("listening on {address}");
    tokio::signal::ctrl_c().await?;
    Ok(())
}

#[allow(clippy::print_stdout)]
fn say(answer: &CallerResponse) {
    println!("{} {}", answer.status.as_u16(), String::from_utf8_lossy(&answer.body));
}

#[allow(clippy::print_stdout)]
fn print(tally: &trainer::StepsSummary) {
    println!(
        "steps {} samples {} missing {} doubled {} staleness {} idle {:?} of {:?}",
        tally.steps,
        tally.samples,
        tally.missing_samples,
        tally.duplicates,
        tally.max_staleness,
        tally.wait_time,
        tally.total_time,
    );
}
