//! Measures the idle time of a trainer against the staleness of its samples, with real nodes. The
//! trainer submits its next step while it trains, and the `idle_weight` of the bundle sets how
//! much of that step starts early. The results are printed as CSV.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;

use mulberrycourse::client::TrainerClient;
use mulberrycourse::decide::{GroupSpec, StepSpec};
use standins::engine::EngineSettings;
use standins::fleet::{Fleet, bundle_text};
use tokio::time::Instant;

/// Steps in one run.
const STEP_COUNT: u64 = 8;
/// How long the trainer trains on a step.
const TRAINING_TIME: Duration = Duration::from_millis(400);
/// The values of `idle_weight` that are compared.
const IDLE_WEIGHTS: [f64; 5] = [0.0, 0.25, 0.5, 0.75, 1.0];

type BoxError = Box<dyn std::error::Error + Send + Sync>;

#[tokio::main]
#[allow(clippy::print_stdout, clippy::print_stderr)]
async fn main() -> ExitCode {
    println!("idle_weight,idle_part,mean_staleness,samples,doubled");
    for weight in IDLE_WEIGHTS {
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

/// Returns a bundle with this number, weight version and idle weight.
fn bundle_with_idle_weight(number: u64, version: u64, weight: f64) -> String {
    bundle_text(number, version).replace("idle_weight = 0.8", &format!("idle_weight = {weight}"))
}

/// A step of 24 groups of 4 samples, for one weight version.
fn step_spec(version: u64) -> StepSpec {
    let prompt = |g| GroupSpec { prompt: format!("fan {version} {g}"), samples: 4, max_tokens: 64 };
    StepSpec { version, groups: (0..24).map(prompt).collect() }
}

/// Runs all steps with one idle weight and returns the line of results.
async fn run(weight: f64) -> Result<String, BoxError> {
    let settings =
        EngineSettings { token_time: Duration::from_millis(5), ..EngineSettings::default() };
    let fleet = Fleet::spawn(2, 2, settings).await?;
    fleet.apply_bundle(2, &bundle_with_idle_weight(2, 1, weight)).await?;
    fleet.wait_until_settled(2).await;
    let trainer = TrainerClient::new("coach".into(), fleet.client_addresses());
    let began = Instant::now();
    let (mut idle, mut staleness, mut samples, mut doubled) = (Duration::ZERO, 0, 0_u64, 0);
    let mut specs: Vec<StepSpec> = (1..=STEP_COUNT + 1).map(step_spec).collect();
    // The next step is submitted at the version before its own.
    specs.iter_mut().skip(1).for_each(|s| s.version -= 1);
    let mut current = trainer.resume_step(1, &specs[0], BTreeMap::new());
    for step in 1..=STEP_COUNT {
        trainer.set_version(step);
        let waited = Instant::now();
        while !current.next_groups().await?.is_empty() {}
        idle += waited.elapsed();
        doubled += current.report().duplicates;
        for sample in current.report().groups.values().flat_map(|g| &g.samples) {
            staleness += step - sample.oldest().unwrap_or(step).min(step);
            samples += 1;
        }
        let mut next = trainer.resume_step(step + 1, &specs[step as usize], BTreeMap::new());
        next.prepare().await?;
        tokio::time::sleep(TRAINING_TIME).await;
        fleet.apply_bundle(step + 2, &bundle_with_idle_weight(step + 2, step + 1, weight)).await?;
        current = next;
    }
    let idle = idle.as_secs_f64() / began.elapsed().as_secs_f64();
    let mean_staleness = staleness as f64 / samples as f64;
    Ok(format!("{weight},{idle:.3},{mean_staleness:.3},{samples},{doubled}"))
}
