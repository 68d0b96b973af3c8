//! A stand-in for a trainer: pulls steps, trains, and counts what it cares about.

mod truth;

pub use truth::{flat, tokens, truth};

use std::time::Duration;

use mulberrycourse::client::{TrainerClient, TrainerError};
use mulberrycourse::decide::{GroupSpec, StepSpec};
use tokio::time::Instant;

/// What a run of steps came to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    /// Steps that became whole.
    pub steps: u64,
    /// Samples received.
    pub samples: u64,
    /// Groups that came twice.
    pub doubled: u64,
    /// Samples missing from a group.
    pub missing: u64,
    /// How far the oldest token was behind, over all samples.
    pub staleness: u64,
    /// Time spent waiting for samples.
    pub idle: Duration,
    /// Time in all.
    pub total: Duration,
}

/// Runs `steps` steps of `groups` groups; each step trains for `train`, after
/// which the trainer is one version on.
pub async fn run(
    trainer: &TrainerClient,
    first: u64,
    steps: u64,
    prompt: &GroupSpec,
    groups: u32,
    train: Duration,
) -> Result<Tally, TrainerError> {
    let mut tally = Tally::default();
    let began = Instant::now();
    for step in 0..steps {
        let version = first + step;
        let one = |g| GroupSpec { prompt: format!("{} {g}", prompt.prompt), ..prompt.clone() };
        let spec = StepSpec { version, groups: (0..groups).map(one).collect() };
        let waited = Instant::now();
        let report = trainer.run_step(version, &spec).await?;
        tally.idle += waited.elapsed();
        tally.steps += 1;
        tally.doubled += report.duplicates;
        for group in report.groups.values() {
            tally.samples += group.samples.len() as u64;
            tally.missing += u64::from(prompt.samples) - group.samples.len() as u64;
            let oldest = group.samples.iter().filter_map(|s| s.oldest());
            let behind = oldest.map(|o| version.saturating_sub(o)).max().unwrap_or(0);
            tally.staleness = tally.staleness.max(behind);
        }
        tokio::time::sleep(train).await;
    }
    tally.total = began.elapsed();
    Ok(tally)
}
