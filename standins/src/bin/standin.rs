//! Runs a single stand-in as a separate process.

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

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A stand-in for one of the systems around mulberrycourse.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// The platform, with the key-value service and the list of VMs.
    Platform {
        /// Address to listen on.
        listen: SocketAddr,
        /// Upstream VM in the list, as SERVICE=ADDRESS; may be given several times.
        #[arg(long)]
        vm: Vec<VmArg>,
    },
    /// A caller, which makes one call and prints the answer.
    Call {
        /// Name in the bundle.
        name: Name,
        /// Nodes to contact first.
        #[arg(long, required = true, value_delimiter = ',')]
        nodes: Vec<SocketAddr>,
        /// Service to call; a model service is asked for a completion of the path.
        service: String,
        /// Path of the call, or prompt of the completion.
        path: String,
        /// Idempotency key of the call.
        #[arg(long)]
        key: Option<String>,
    },
    /// A model engine.
    Engine {
        /// Address to listen on.
        listen: SocketAddr,
        /// Weight version at the start.
        #[arg(long, default_value_t = 1)]
        version: u64,
        /// Address of the weight store.
        #[arg(long)]
        store: Option<SocketAddr>,
        /// Accept orders with an outdated fencing token.
        #[arg(long)]
        unfenced: bool,
        /// Time per token, in milliseconds.
        #[arg(long, default_value_t = 5)]
        token_ms: u64,
    },
    /// A plain service.
    Plain {
        /// Address to listen on.
        listen: SocketAddr,
    },
    /// A weight store.
    Weights {
        /// Address to listen on.
        listen: SocketAddr,
        /// Versions served per second.
        #[arg(long, default_value_t = 4.0)]
        rate: f64,
    },
    /// A trainer, which runs some steps and prints its counts.
    Trainer {
        /// Name in the bundle.
        name: Name,
        /// Nodes to contact first.
        #[arg(long, required = true, value_delimiter = ',')]
        nodes: Vec<SocketAddr>,
        /// Weight version of the first step.
        #[arg(long, default_value_t = 1)]
        first: u64,
        /// Number of steps.
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

type BoxError = Box<dyn std::error::Error>;

/// An upstream VM that is given on the command line.
#[derive(Debug, Clone)]
struct VmArg {
    service: Name,
    address: SocketAddr,
}

impl std::str::FromStr for VmArg {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (service, address) = text.split_once('=').ok_or("expected SERVICE=ADDRESS")?;
        let address = address.parse().map_err(|e| format!("{address}: {e}"))?;
        Ok(Self { service: service.into(), address })
    }
}

/// Numbers the VMs and distributes them over three availability zones.
fn vms(listed: &[VmArg]) -> Vec<Vm> {
    let zones = ["gloshaugen", "elgeseter", "heimdal"];
    let vm = |(index, VmArg { service, address }): (usize, &VmArg)| Vm {
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

async fn run(command: Command) -> Result<(), BoxError> {
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
                "patter" => caller.stream(&completion_request(&path, 1, 24), CALL_TIMEOUT).await?,
                plain => caller.call(plain, &path, "", key.as_deref(), CALL_TIMEOUT).await?,
            };
            print_answer(&answer);
            Ok(())
        }
        Command::Trainer { name, nodes, first, steps, groups, samples } => {
            let prompt = GroupSpec { prompt: format!("{name} practises"), samples, max_tokens: 32 };
            let client = TrainerClient::new(name, nodes);
            let train = Duration::from_millis(100);
            let tally = trainer::run_steps(&client, first, steps, &prompt, groups, train).await?;
            print_tally(&tally);
            Ok(())
        }
    }
}

/// Prints the address, and serves until the process is interrupted.
#[allow(clippy::print_stdout)]
async fn serve(address: SocketAddr) -> Result<(), BoxError> {
    println!("listening on {address}");
    tokio::signal::ctrl_c().await?;
    Ok(())
}

#[allow(clippy::print_stdout)]
fn print_answer(answer: &CallerResponse) {
    println!("{} {}", answer.status.as_u16(), String::from_utf8_lossy(&answer.body));
}

#[allow(clippy::print_stdout)]
fn print_tally(tally: &trainer::StepsSummary) {
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
