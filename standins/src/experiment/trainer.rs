//! A trainer: it waits for the samples of a step, trains, and has new weights.

use std::collections::HashSet;
use std::time::Duration;

use mulberrycourse::Moment;
use mulberrycourse::decide::early_samples;

use super::{TrainerFlow, TrainerResult};

/// A sample: step and number.
pub(super) type Slot = (u32, u32);

/// Its state.
#[derive(Debug)]
pub(super) struct Trainer {
    pub(super) flow: TrainerFlow,
    warmup: Duration,
    /// The step whose samples are gathered, which is also the version of the weights
    /// unless it trains.
    step: u32,
    version: u32,
    training: Option<Moment>,
    started: u32,
    filled: HashSet<Slot>,
    steps: u32,
    trained: Duration,
    stale: u64,
    taken: u64,
    doubled: u64,
}

/// What the trainer asks for next.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Wanted {
    /// Samples to start.
    pub(super) slots: Vec<Slot>,
    /// When it is done training, if it has just begun.
    pub(super) trained: Option<Moment>,
}

impl Trainer {
    pub(super) fn new(flow: TrainerFlow, warmup: Duration) -> Self {
        Self {
            flow,
            warmup,
            step: 0,
            version: 0,
            training: None,
            started: 0,
            filled: HashSet::new(),
            steps: 0,
            trained: Duration::ZERO,
            stale: 0,
            taken: 0,
            doubled: 0,
        }
    }

    /// The version of the weights that a sample started now is made with.
    pub(super) fn version(&self) -> u32 {
        self.version
    }

    /// The rest of the samples of the step.
    pub(super) fn start(&mut self) -> Wanted {
        let slots = self.up_to(self.flow.samples);
        Wanted { slots, trained: None }
    }

    /// A sample is there; it was started at this version.
    pub(super) fn fill(&mut self, slot: Slot, version: u32, now: Moment) -> Wanted {
        if !self.filled.insert(slot) {
            self.doubled += 1;
            return Wanted::default();
        }
        self.stale += u64::from(slot.0 - version.min(slot.0));
        self.taken += 1;
        if self.training.is_some() {
            return Wanted::default();
        }
        self.begin(now)
    }

    /// It is done training: the weights are new.
    pub(super) fn trained(&mut self, now: Moment) -> Wanted {
        let since = self.training.take().unwrap_or(now);
        self.trained += now.saturating_sub(since.max(self.warmup));
        self.steps += 1;
        self.version += 1;
        let mut wanted = self.start();
        let begun = self.begin(now);
        wanted.slots.extend(begun.slots);
        wanted.trained = begun.trained;
        wanted
    }

    pub(super) fn result(&self, end: Moment) -> TrainerResult {
        let running = self
            .training
            .map_or(Duration::ZERO, |since| end.saturating_sub(since.max(self.warmup)));
        let counted = (end - self.warmup).as_secs_f64();
        TrainerResult {
            name: self.flow.name.clone(),
            steps: self.steps,
            idle: 1.0 - (self.trained + running).as_secs_f64() / counted,
            staleness: self.stale as f64 / self.taken.max(1) as f64,
            doubled: self.doubled,
            lost: 0,
        }
    }

    /// Trains if the step is whole, and starts a part of the next.
    fn begin(&mut self, now: Moment) -> Wanted {
        let whole = (0..self.flow.samples).all(|i| self.filled.contains(&(self.step, i)));
        if !whole {
            return Wanted::default();
        }
        self.training = Some(now);
        self.step += 1;
        self.started = 0;
        let ahead = early_samples(self.flow.ahead, self.flow.samples, 1);
        Wanted { slots: self.up_to(ahead), trained: Some(now + self.flow.train) }
    }

    fn up_to(&mut self, most: u32) -> Vec<Slot> {
        let slots = (self.started..most).map(|index| (self.step, index)).collect();
        self.started = self.started.max(most);
        slots
    }
}
