//! What callers and trainers received.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use mulberrycourse::Name;
use mulberrycourse::decide::Class;
use mulberrycourse::error::Kind;

/// What one caller or trainer received in a run.
#[derive(Debug, Clone)]
pub struct FlowResult {
    /// Its name.
    pub name: Name,
    /// Its class.
    pub class: Class,
    /// Requests sent, those that came back with them.
    pub offered: u64,
    /// Whole answers by the deadline.
    pub answered: u64,
    /// Work of the answers.
    pub work: f64,
    /// Work at upstreams that brought no answer in time.
    pub wasted: f64,
    /// Requests without an answer or refusal at the deadline.
    pub late: u64,
    /// Refusals by kind.
    pub refused: BTreeMap<Kind, u64>,
    /// Attempts at upstreams.
    pub attempts: u64,
    /// Requests that had at least one attempt.
    pub tried: u64,
    /// Requests that came back when they were told to.
    pub returned: u64,
    /// How many of those were answered.
    pub kept: u64,
    /// Requests that may not be repeated, and ran more than once.
    pub doubled: u64,
    /// Latencies of the answers, in microseconds.
    pub latency: Histogram<u64>,
}

impl FlowResult {
    /// Nothing received yet.
    pub fn new(name: Name, class: Class) -> Self {
        // Three digits and any value: such a histogram can always be made.
        #[allow(clippy::unwrap_used)]
        let mut latency = Histogram::new(3).unwrap();
        latency.auto(true);
        Self {
            name,
            class,
            offered: 0,
            answered: 0,
            work: 0.0,
            wasted: 0.0,
            late: 0,
            refused: BTreeMap::new(),
            attempts: 0,
            tried: 0,
            returned: 0,
            kept: 0,
            doubled: 0,
            latency,
        }
    }

    /// A latency quantile, in milliseconds.
    pub fn quantile(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Records an answer.
    pub fn answer(&mut self, latency: Duration, work: f64) {
        self.answered += 1;
        self.work += work;
        // A histogram that resizes itself takes any value.
        let _ = self.latency.record(latency.as_micros() as u64);
    }
}

/// What a trainer experienced in a run.
#[derive(Debug, Clone, PartialEq)]
pub struct TrainerResult {
    /// Its name.
    pub name: Name,
    /// Steps done.
    pub steps: u32,
    /// Part of the time that it did not train.
    pub idle: f64,
    /// Mean staleness of samples at the start of a step, in versions.
    pub staleness: f64,
    /// Samples that were handed over twice.
    pub doubled: u64,
    /// Samples that were neither handed over nor under way at the end.
    pub lost: u64,
}

/// All of a run.
#[derive(Debug, Clone)]
pub struct RunResult {
    /// Length of the time that was counted.
    pub counted: Duration,
    /// Capacity in units of work a second.
    pub capacity: f64,
    /// By flow and trainer.
    pub flows: Vec<FlowResult>,
    /// By trainer.
    pub trainers: Vec<TrainerResult>,
}

impl RunResult {
    /// The result of a flow.
    pub fn flow(&self, name: &str) -> Option<&FlowResult> {
        self.flows.iter().find(|f| &*f.name == name)
    }

    /// Answers a second of a class.
    pub fn goodput(&self, class: Class) -> f64 {
        let answered: u64 =
            self.flows.iter().filter(|f| f.class == class).map(|f| f.answered).sum();
        answered as f64 / self.counted.as_secs_f64()
    }

    /// Work a second that a class was answered with.
    pub fn work(&self, class: Class) -> f64 {
        let work: f64 = self.flows.iter().filter(|f| f.class == class).map(|f| f.work).sum();
        work / self.counted.as_secs_f64()
    }
}
