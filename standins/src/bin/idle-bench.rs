//! Trainer idle time against staleness, through real nodes: a trainer submits its next
//! step while it trains, and the bundle's `idle_weight` says how much is begun early.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;

use mulberrycourse::client::TrainerClient;
use mulberrycourse::decide::{GroupSpec, StepSpec};
use standins::engine::EngineSettings;
use standins::fleet::{Fleet, bundle_text};
use tokio::time::Instant;

/// Steps of one run.
const STEPS: u64 = 8;
/// How long the trainer trains on a step.
const TRAIN: Duration = Duration::from_millis(400);
/// The weights that are compared.
const WEIGHTS: [f64; 5] = [0.0, 0.25, 0.5, 0.75, 1.0];

type Failure = Box<dyn std::error::Error + Send + Sync>;

#[tokio::main]
#[allow(clippy::print_stdout, clippy::print_stderr)]
async fn main() -> ExitCode {
    println!("idle_weight,idle_part,mean_staleness,samples,doubled");
    for weight in WEIGHTS {
        match run(weight).await {
            Ok(line) => println!("{line}"),
            Err(e) => {
                eprintln!("idle-bench: {e}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

/// The bundle with a number, a weight version and an idle weight.
fn weighed(number: u64, version: u64, weight: f64) -> String {
    bundle_text(number, version).replace("idle_weight = 0.8", &format!("idle_weight = {weight}"))
}

fn spec(version: u64) -> StepSpec {
    let prompt = |g| GroupSpec { prompt: format!("fan {version} {g}"), samples: 4, max_tokens: 64 };
    StepSpec { version, groups: (0..24).map(prompt).collect() }
}

async fn run(weight: f64) -> Result<String, Failure> {
    let settings =
        EngineSettings { token_time: Duration::from_millis(5), ..EngineSettings::default() };
    let fleet = Fleet::spawn(2, 2, settings).await?;
    fleet.apply_bundle(2, &weighed(2, 1, weight)).await?;
    fleet.wait_until_settled(2).await;
    let trainer = TrainerClient::new("coach".into(), fleet.client_addresses());
    let began = Instant::now();
    let (mut idle, mut behind, mut samples, mut doubled) = (Duration::ZERO, 0, 0_u64, 0);
    let mut specs: Vec<StepSpec> = (1..=STEPS + 1).map(spec).collect();
    // The next step is submitted at the version before its own.
    specs.iter_mut().skip(1).for_each(|s| s.version -= 1);
    let mut now = trainer.resume(1, &specs[0], BTreeMap::new());
    for step in 1..=STEPS {
        trainer.advance(step);
        let waited = Instant::now();
        while !now.next().await?.is_empty() {}
        idle += waited.elapsed();
        doubled += now.report().doubled;
        for sample in now.report().groups.values().flat_map(|g| &g.samples) {
            behind += step - sample.oldest().unwrap_or(step).min(step);
            samples += 1;
        }
        let mut next = trainer.resume(step + 1, &specs[step as usize], BTreeMap::new());
        next.prepare().await?;
        tokio::time::sleep(TRAIN).await;
        fleet.apply_bundle(step + 2, &weighed(step + 2, step + 1, weight)).await?;
        now = next;
    }
    let idle = idle.as_secs_f64() / began.elapsed().as_secs_f64();
    let staleness = behind as f64 / samples as f64;
    Ok(format!("{weight},{idle:.3},{staleness:.3},{samples},{doubled}"))
}
