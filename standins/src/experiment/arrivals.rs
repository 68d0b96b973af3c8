//! Arrival of requests in a simulation.

use std::time::Duration;

use mulberrycourse::decide::{Call, Class, Repeat};
use rand::Rng;
use rand_distr::{Distribution, Exp};

use super::event::{Event, PendingRequest, Source};
use super::simulation::Simulation;
use super::trainer::{SampleId, TrainerActions};

/// Deadline of a sample, from its submission.
const SAMPLE_DEADLINE: Duration = Duration::from_secs(420);
/// Smallest ratio of the work of a request to its expected cost; the largest is 1.
const MIN_WORK_RATIO: f64 = 0.5;

impl Simulation<'_> {
    /// Schedules the next request of a flow after an exponentially distributed gap, unless it is
    /// scheduled already or the flow has no load. A flow that gets load again has to be scheduled
    /// anew.
    pub(super) fn schedule_arrival(&mut self, flow: usize) {
        if self.arrival_scheduled[flow] {
            return;
        }
        let spec = &self.scenario.flows[flow];
        let profile = self.scenario.profile();
        let scale = if spec.scaled { self.scale } else { 1.0 };
        let load = spec.load * scale * self.load_factors[flow];
        let capacity = profile.capacity() * self.upstreams.len() as f64;
        let prefill = if spec.prefix_count > 0 { profile.prefill } else { 0.0 };
        let work = f64::from(spec.mean_cost) * self.mean_work_ratio() + prefill;
        let rate = load * capacity / work;
        if rate <= 0.0 {
            return;
        }
        let gap = Exp::new(rate).map_or(1.0, |e| e.sample(&mut self.rng));
        let at = self.now + Duration::from_secs_f64(gap.min(1e6));
        self.schedule(at, Event::Arrive(flow));
        self.arrival_scheduled[flow] = true;
    }

    /// Submits a request of a flow to the policy.
    pub(super) fn submit_flow_request(&mut self, index: usize, retries_left: u32, is_retry: bool) {
        let spec = &self.scenario.flows[index];
        let hot = self.rng.random_bool(spec.hot_fraction);
        let key = if hot { 0 } else { self.rng.random_range(0..spec.prefix_count.max(1)) };
        let prefix = (spec.prefix_count > 0).then(|| prefix_hash(index as u64 + 1, key));
        let (cost, work) = self.draw_size(spec.mean_cost);
        let call = Call {
            caller: spec.caller.clone(),
            class: spec.class,
            repeat: spec.repeat,
            cost,
            deadline: self.now + spec.deadline,
            fingerprint: self.rng.random(),
            prefix,
        };
        let counted = self.is_measuring();
        if counted {
            self.results[index].offered += 1;
            self.results[index].retries += u64::from(is_retry);
        }
        self.submit(Source::Flow { index, retries_left, is_retry }, call, work, counted);
    }

    /// Submits a sample of a trainer to the policy.
    pub(super) fn submit_sample(&mut self, index: usize, sample: SampleId) {
        let trainer = &self.trainers[index];
        let version = trainer.version();
        let flow = &trainer.flow;
        let (caller, mean) = (flow.name.clone(), flow.mean_cost);
        let group = u64::from(sample.0) << 32 | u64::from(sample.1 / flow.group_size);
        let (cost, work) = self.draw_size(mean);
        let call = Call {
            caller,
            class: Class::Training,
            repeat: Repeat::Idempotent,
            cost,
            deadline: self.now + SAMPLE_DEADLINE,
            fingerprint: self.rng.random(),
            prefix: Some(prefix_hash(1_000 + index as u64, group)),
        };
        self.submit(Source::Trainer { index, sample, version }, call, work, false);
    }

    /// Submits the samples that a trainer starts and schedules the end of its training.
    pub(super) fn apply_trainer_actions(&mut self, trainer: usize, actions: TrainerActions) {
        if let Some(at) = actions.training_end {
            self.schedule(at, Event::TrainingDone(trainer));
        }
        actions.samples.into_iter().for_each(|sample| self.submit_sample(trainer, sample));
    }

    /// Submits a request to the policy and schedules its deadline.
    fn submit(&mut self, source: Source, call: Call, work: f64, counted: bool) {
        let deadline = call.deadline;
        let ticket = self.policy.submit(call.clone(), self.now);
        self.schedule(deadline, Event::Deadline(ticket));
        self.requests.insert(ticket, PendingRequest::new(source, call, work, self.now, counted));
    }

    /// Whether the current time is after the warm-up and before the end of the arrivals.
    pub(super) fn is_measuring(&self) -> bool {
        (self.scenario.warmup..self.scenario.length).contains(&self.now)
    }

    /// Draws the expected cost and the actual work of a request. The expected cost of a
    /// plain call is always 1.
    fn draw_size(&mut self, mean: u32) -> (u32, f64) {
        if !self.scenario.uses_engines {
            let work = Exp::new(1.0).map_or(1.0, |e| e.sample(&mut self.rng));
            return (1, work * f64::from(mean));
        }
        let cost = f64::from(mean) * self.rng.random_range(0.5..1.5);
        let work = cost * self.rng.random_range(MIN_WORK_RATIO..1.0);
        (cost.ceil() as u32, work)
    }

    /// Mean ratio of the work of a request to its mean cost, without prefill.
    fn mean_work_ratio(&self) -> f64 {
        if self.scenario.uses_engines { (MIN_WORK_RATIO + 1.0) / 2.0 } else { 1.0 }
    }
}

/// Hashes a flow and a key to a prompt prefix, so that different keys get unrelated prefixes.
fn prefix_hash(flow: u64, key: u64) -> u64 {
    (flow.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ key).wrapping_mul(0xD6E8_FEB8_6659_FD93)
}
