//! Requests as they arrive in a run.

use std::time::Duration;

use mulberrycourse::decide::{Call, Class, Repeat};
use rand::Rng;
use rand_distr::{Distribution, Exp};

use super::run::{Asked, Event, Run, Source};
use super::trainer::{Slot, Wanted};

/// How long a sample may take.
const SAMPLE: Duration = Duration::from_secs(420);
/// Part of the expected cost that a request really takes, from here up to all.
const REAL: f64 = 0.5;

impl Run<'_> {
    pub(super) fn next_arrival(&mut self, flow: usize) {
        let spec = &self.scenario.flows[flow];
        let model = self.scenario.model();
        let scale = if spec.scaled { self.scale } else { 1.0 };
        let load = spec.load * scale * self.factors[flow];
        let capacity = model.capacity() * self.upstreams.len() as f64;
        let prefill = if spec.keys > 0 { model.prefill } else { 0.0 };
        let work = f64::from(spec.cost) * self.mean_part() + prefill;
        // A flow without load looks again later: its factor may change.
        let gap = Exp::new(load * capacity / work).map_or(1.0, |e| e.sample(&mut self.rng));
        let at = self.now + Duration::from_secs_f64(gap.min(1e6));
        self.at(at, Event::Arrive(flow));
    }

    pub(super) fn offer_flow(&mut self, index: usize, left: u32, returned: bool) {
        let spec = &self.scenario.flows[index];
        let hot = self.rng.random_bool(spec.hot);
        let key = if hot { 0 } else { self.rng.random_range(0..spec.keys.max(1)) };
        let prefix = (spec.keys > 0).then(|| spread(index as u64 + 1, key));
        let (cost, work) = self.size(spec.cost);
        let call = Call {
            caller: spec.caller.clone(),
            class: spec.class,
            repeat: spec.repeat,
            cost,
            deadline: self.now + spec.deadline,
            fingerprint: self.rng.random(),
            prefix,
        };
        let counted = self.counts();
        if counted {
            self.results[index].offered += 1;
            self.results[index].returned += u64::from(returned);
        }
        self.offer(Source::Flow { index, left, returned }, call, work, counted);
    }

    pub(super) fn offer_sample(&mut self, index: usize, slot: Slot) {
        let trainer = &self.trainers[index];
        let version = trainer.version();
        let flow = &trainer.flow;
        let (caller, mean) = (flow.name.clone(), flow.cost);
        let group = u64::from(slot.0) << 32 | u64::from(slot.1 / flow.group);
        let (cost, work) = self.size(mean);
        let call = Call {
            caller,
            class: Class::Training,
            repeat: Repeat::Idempotent,
            cost,
            deadline: self.now + SAMPLE,
            fingerprint: self.rng.random(),
            prefix: Some(spread(1_000 + index as u64, group)),
        };
        self.offer(Source::Trainer { index, slot, version }, call, work, false);
    }

    pub(super) fn want(&mut self, trainer: usize, wanted: Wanted) {
        if let Some(at) = wanted.trained {
            self.at(at, Event::Trained(trainer));
        }
        wanted.slots.into_iter().for_each(|slot| self.offer_sample(trainer, slot));
    }

    fn offer(&mut self, source: Source, call: Call, work: f64, counted: bool) {
        let deadline = call.deadline;
        let ticket = self.policy.offer(call.clone(), self.now);
        self.at(deadline, Event::Deadline(ticket));
        self.asked.insert(ticket, Asked::new(source, call, work, self.now, counted));
    }

    pub(super) fn counts(&self) -> bool {
        (self.scenario.warmup..self.scenario.length).contains(&self.now)
    }

    /// Expected cost and real work of a request.
    fn size(&mut self, mean: u32) -> (u32, f64) {
        if !self.scenario.engine {
            let work = Exp::new(1.0).map_or(1.0, |e| e.sample(&mut self.rng));
            return (1, work * f64::from(mean));
        }
        let cost = f64::from(mean) * self.rng.random_range(0.5..1.5);
        let work = cost * self.rng.random_range(REAL..1.0);
        (cost.ceil() as u32, work)
    }

    fn mean_part(&self) -> f64 {
        if self.scenario.engine { (REAL + 1.0) / 2.0 } else { 1.0 }
    }
}

/// A prefix: the same for the same key, far from all others.
fn spread(flow: u64, key: u64) -> u64 {
    (flow.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ key).wrapping_mul(0xD6E8_FEB8_6659_FD93)
}
