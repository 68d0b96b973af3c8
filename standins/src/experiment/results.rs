//! Results of a simulation, by flow and by trainer.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use mulberrycourse::Name;
use mulberrycourse::decide::Class;
use mulberrycourse::error::Kind;

/// What one flow or trainer received in a simulation.
#[derive(Debug, Clone)]
pub struct FlowResult {
    /// The name of the flow or trainer.
    pub name: Name,
    /// The class of its requests.
    pub class: Class,
    /// Requests sent, including retries after a refusal.
    pub offered: u64,
    /// Requests answered in full by their deadline.
    pub answered: u64,
    /// Units of work of the answered requests.
    pub work: f64,
    /// Units of work at upstreams that did not contribute to an answer in time.
    pub wasted: f64,
    /// Requests that were neither answered nor refused by their deadline.
    pub timed_out: u64,
    /// Refusals by kind.
    pub refused: BTreeMap<Kind, u64>,
    /// Attempts sent to upstreams.
    pub attempts: u64,
    /// Requests with at least one attempt.
    pub attempted: u64,
    /// Requests sent again after the time that a refusal named.
    pub retries: u64,
    /// Retries that were answered.
    pub retries_answered: u64,
    /// Requests that may not be repeated but ran more than once.
    pub duplicate_runs: u64,
    /// Latencies of the answered requests, in microseconds.
    pub latency: Histogram<u64>,
}

impl FlowResult {
    /// Creates an empty result.
    pub fn new(name: Name, class: Class) -> Self {
        // Creation fails only for more than five significant digits.
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
            timed_out: 0,
            refused: BTreeMap::new(),
            attempts: 0,
            attempted: 0,
            retries: 0,
            retries_answered: 0,
            duplicate_runs: 0,
            latency,
        }
    }

    /// Returns a quantile of the latency, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Records an answered request.
    pub fn record_answer(&mut self, latency: Duration, work: f64) {
        self.answered += 1;
        self.work += work;
        // A histogram that resizes itself accepts every value.
        let _ = self.latency.record(latency.as_micros() as u64);
    }
}

/// What a trainer did in a simulation.
#[derive(Debug, Clone, PartialEq)]
pub struct TrainerResult {
    /// The name of the trainer.
    pub name: Name,
    /// Steps completed.
    pub steps: u32,
    /// Fraction of the measured time in which it did not train.
    pub idle_fraction: f64,
    /// Mean staleness of the samples at the start of their step, in versions.
    pub mean_staleness: f64,
    /// Samples that were delivered more than once.
    pub duplicate_samples: u64,
    /// Samples that were neither delivered nor in progress at the end.
    pub lost_samples: u64,
}

/// The result of one simulation.
#[derive(Debug, Clone)]
pub struct RunResult {
    /// Length of the measured time, which is that of the arrivals without the warm-up.
    pub measured_time: Duration,
    /// Total capacity of the upstreams, in units of work per second.
    pub capacity: f64,
    /// One result for each flow, then one for each trainer.
    pub flows: Vec<FlowResult>,
    /// One result for each trainer.
    pub trainers: Vec<TrainerResult>,
}

impl RunResult {
    /// Returns the result of the flow or trainer with this name.
    pub fn flow(&self, name: &str) -> Option<&FlowResult> {
        self.flows.iter().find(|f| &*f.name == name)
    }

    /// Returns the answered requests of a class, per second.
    pub fn goodput(&self, class: Class) -> f64 {
        let answered: u64 =
            self.flows.iter().filter(|f| f.class == class).map(|f| f.answered).sum();
        answered as f64 / self.measured_time.as_secs_f64()
    }

    /// Returns the units of work of the answered requests of a class, per second.
    pub fn work_rate(&self, class: Class) -> f64 {
        let work: f64 = self.flows.iter().filter(|f| f.class == class).map(|f| f.work).sum();
        work / self.measured_time.as_secs_f64()
    }
}
