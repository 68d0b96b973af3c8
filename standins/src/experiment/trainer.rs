//! Model of a trainer, which collects the samples of a step, trains on them and thereby makes
//! new weights.

use std::collections::HashSet;
use std::time::Duration;

use mulberrycourse::Moment;
use mulberrycourse::decide::early_samples;

use super::{TrainerFlow, TrainerResult};

/// A sample: its step, and its number within the step.
pub(super) type SampleId = (u32, u32);

/// The state of a simulated trainer.
#[derive(Debug)]
pub(super) struct TrainerModel {
    pub(super) flow: TrainerFlow,
    /// The start of the measured time.
    warmup: Duration,
    /// The step whose samples are collected. It equals the version of the weights, except
    /// while the trainer trains.
    step: u32,
    version: u32,
    /// When the current training began.
    training_since: Option<Moment>,
    /// Samples of the step that have been started.
    started: u32,
    /// Samples that have been received, of all steps.
    received: HashSet<SampleId>,
    steps_done: u32,
    /// Time spent training, after the warm-up.
    training_time: Duration,
    /// Sum of the staleness of all samples, in versions.
    staleness_sum: u64,
    sample_count: u64,
    /// Samples that were received a second time.
    duplicates: u64,
}

/// What the trainer does next.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct TrainerActions {
    /// Samples to start.
    pub(super) samples: Vec<SampleId>,
    /// When the training ends, if it has just begun.
    pub(super) training_end: Option<Moment>,
}

impl TrainerModel {
    pub(super) fn new(flow: TrainerFlow, warmup: Duration) -> Self {
        Self {
            flow,
            warmup,
            step: 0,
            version: 0,
            training_since: None,
            started: 0,
            received: HashSet::new(),
            steps_done: 0,
            training_time: Duration::ZERO,
            staleness_sum: 0,
            sample_count: 0,
            duplicates: 0,
        }
    }

    /// The weight version that a sample started now is made with.
    pub(super) fn version(&self) -> u32 {
        self.version
    }

    /// Starts the samples of the step that have not been started early.
    pub(super) fn start_step(&mut self) -> TrainerActions {
        let samples = self.start_up_to(self.flow.samples);
        TrainerActions { samples, training_end: None }
    }

    /// Records a received sample that was started at this version.
    pub(super) fn receive_sample(
        &mut self,
        sample: SampleId,
        version: u32,
        now: Moment,
    ) -> TrainerActions {
        if !self.received.insert(sample) {
            self.duplicates += 1;
            return TrainerActions::default();
        }
        self.staleness_sum += u64::from(sample.0 - version.min(sample.0));
        self.sample_count += 1;
        if self.training_since.is_some() {
            return TrainerActions::default();
        }
        self.train_if_complete(now)
    }

    /// Ends the training: the version of the weights goes up and the next step starts.
    pub(super) fn finish_training(&mut self, now: Moment) -> TrainerActions {
        let since = self.training_since.take().unwrap_or(now);
        self.training_time += now.saturating_sub(since.max(self.warmup));
        self.steps_done += 1;
        self.version += 1;
        let mut actions = self.start_step();
        let next = self.train_if_complete(now);
        actions.samples.extend(next.samples);
        actions.training_end = next.training_end;
        actions
    }

    /// Returns the result of the time from the warm-up to `end`.
    pub(super) fn result(&self, end: Moment) -> TrainerResult {
        let running = self
            .training_since
            .map_or(Duration::ZERO, |since| end.saturating_sub(since.max(self.warmup)));
        let counted = (end - self.warmup).as_secs_f64();
        TrainerResult {
            name: self.flow.name.clone(),
            steps: self.steps_done,
            idle_fraction: 1.0 - (self.training_time + running).as_secs_f64() / counted,
            mean_staleness: self.staleness_sum as f64 / self.sample_count.max(1) as f64,
            duplicate_samples: self.duplicates,
            lost_samples: 0,
        }
    }

    /// Begins to train if all samples of the step have been received, and starts the early
    /// samples of the next step.
    fn train_if_complete(&mut self, now: Moment) -> TrainerActions {
        let complete = (0..self.flow.samples).all(|i| self.received.contains(&(self.step, i)));
        if !complete {
            return TrainerActions::default();
        }
        self.training_since = Some(now);
        self.step += 1;
        self.started = 0;
        let early = early_samples(self.flow.early_fraction, self.flow.samples, 1);
        let samples = self.start_up_to(early);
        TrainerActions { samples, training_end: Some(now + self.flow.training_time) }
    }

    /// Starts the samples of the step with numbers below `count` that have not been started.
    fn start_up_to(&mut self, count: u32) -> Vec<SampleId> {
        let samples = (self.started..count).map(|index| (self.step, index)).collect();
        self.started = self.started.max(count);
        samples
    }
}
