//! A stand-in for a trainer: it pulls steps, trains, and counts lost and stale samples and the
//! time that it waits.

mod produced;

pub use produced::{label_versions, produced_versions, sample_token_count};

use std::time::Duration;

use mulberrycourse::client::{TrainerClient, TrainerError};
use mulberrycourse::decide::{GroupSpec, StepSpec};
use tokio::time::Instant;

/// The totals of a run of steps.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepsSummary {
    /// Steps that were completed.
    pub steps: u64,
    /// Samples received.
    pub samples: u64,
    /// Groups received twice.
    pub duplicates: u64,
    /// Samples that groups lacked.
    pub missing_samples: u64,
    /// How many versions the oldest token of all samples was behind its step.
    pub max_staleness: u64,
    /// The time spent waiting for samples.
    pub wait_time: Duration,
    /// The duration of the run.
    pub total_time: Duration,
}

/// Runs `steps` steps of `groups` groups each. Every step trains for `train_time` and raises the
/// trainer's version, which starts at `first`, by one.
pub async fn run_steps(
    trainer: &TrainerClient,
    first: u64,
    steps: u64,
    prompt: &GroupSpec,
    groups: u32,
    train_time: Duration,
) -> Result<StepsSummary, TrainerError> {
    let mut summary = StepsSummary::default();
    let started = Instant::now();
    for step in 0..steps {
        let version = first + step;
        let group = |g| GroupSpec { prompt: format!("{} {g}", prompt.prompt), ..prompt.clone() };
        let spec = StepSpec { version, groups: (0..groups).map(group).collect() };
        let requested_at = Instant::now();
        let report = trainer.run_step(version, &spec).await?;
        summary.wait_time += requested_at.elapsed();
        summary.steps += 1;
        summary.duplicates += report.duplicates;
        for group in report.groups.values() {
            summary.samples += group.samples.len() as u64;
            summary.missing_samples += u64::from(prompt.samples) - group.samples.len() as u64;
            let oldest = group.samples.iter().filter_map(|s| s.oldest());
            let behind = oldest.map(|o| version.saturating_sub(o)).max().unwrap_or(0);
            summary.max_staleness = summary.max_staleness.max(behind);
        }
        tokio::time::sleep(train_time).await;
    }
    summary.total_time = started.elapsed();
    Ok(summary)
}
