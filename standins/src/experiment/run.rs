//! One run of a scenario, event by event.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;

use mulberrycourse::decide::{
    AttemptOutcome, AttemptReport, Class, DispatchAction, LoadReport, Repeat, Ticket, UpstreamView,
};
use mulberrycourse::error::Refusal;
use mulberrycourse::{Moment, Name};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::event::{Asked, Ending, Event, Source};
use super::faults::{LAG, REPLACE};
use super::trainer::Trainer;
use super::{Deployment, FlowResult, Policy, PolicyKind, RunResult, Scenario, Upstream};

/// Time between two ticks of the policy, as in the daemon.
const TICK: Duration = Duration::from_millis(20);
/// Time between two load reports, and how late they come.
const REPORTS: Duration = Duration::from_millis(250);
/// There and back to another availability zone.
const FAR: Duration = Duration::from_millis(3);
/// How long a connection takes to be refused.
const REFUSED: Duration = Duration::from_millis(1);
/// How long a poisonous request runs before the upstream crashes.
const POISON: Duration = Duration::from_millis(200);
/// How long a crashed upstream takes to come back.
const RESTART: Duration = Duration::from_secs(3);

pub(super) struct Run<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) scale: f64,
    pub(super) now: Moment,
    pub(super) events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    pub(super) number: u64,
    pub(super) policy: Policy,
    pub(super) upstreams: Vec<Upstream>,
    pub(super) versions: Vec<u64>,
    pub(super) views: Vec<UpstreamView>,
    pub(super) listed: Vec<bool>,
    pub(super) index: HashMap<Name, usize>,
    pub(super) asked: BTreeMap<Ticket, Asked>,
    pub(super) factors: Vec<f64>,
    pub(super) trainers: Vec<Trainer>,
    pub(super) results: Vec<FlowResult>,
    pub(super) rng: SmallRng,
}

/// Runs a scenario once. The same arguments give the same result.
pub fn run(
    scenario: &Scenario,
    deployment: &Deployment,
    scale: f64,
    kind: PolicyKind,
    seed: u64,
) -> RunResult {
    let count = deployment.upstreams(scenario.engine);
    let views: Vec<UpstreamView> = (0..count)
        .map(|i| UpstreamView {
            name: format!("u{i}").into(),
            zone: format!("zone{}", i % deployment.zones).into(),
            accepting: true,
        })
        .collect();
    let index = views.iter().enumerate().map(|(i, v)| (v.name.clone(), i)).collect();
    let flows = scenario.flows.iter().map(|f| FlowResult::new(f.name.clone(), f.class));
    let trainers = scenario.trainers.iter();
    let trained = trainers.clone().map(|t| FlowResult::new(t.name.clone(), Class::Training));
    let mut run = Run {
        scenario,
        scale,
        now: Moment::ZERO,
        events: BinaryHeap::new(),
        number: 0,
        policy: Policy::new(kind, scenario.limits, scenario.shares(), seed),
        upstreams: (0..count).map(|_| Upstream::new(scenario.model())).collect(),
        versions: vec![0; count],
        listed: vec![true; count],
        views,
        index,
        asked: BTreeMap::new(),
        factors: vec![1.0; scenario.flows.len()],
        trainers: trainers.map(|t| Trainer::new(t.at(scale), scenario.warmup)).collect(),
        results: flows.chain(trained).collect(),
        rng: SmallRng::seed_from_u64(seed),
    };
    run.start();
    run.go();
    run.result()
}

impl Run<'_> {
    fn start(&mut self) {
        self.policy.set_upstreams(&self.views, self.now);
        (0..self.scenario.flows.len()).for_each(|flow| self.next_arrival(flow));
        for trainer in 0..self.trainers.len() {
            let wanted = self.trainers[trainer].start();
            self.want(trainer, wanted);
        }
        for (index, change) in self.scenario.changes.iter().enumerate() {
            self.at(change.at, Event::Begin(index));
            self.at(change.until, Event::End(index));
        }
        self.at(TICK, Event::Tick);
        self.at(REPORTS, Event::Reports);
    }

    fn go(&mut self) {
        let patience = self.scenario.flows.iter().map(|f| f.deadline).max().unwrap_or_default();
        let end = self.scenario.length + patience;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                return;
            }
            self.now = at;
            self.handle(event);
            self.act();
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Arrive(flow) => {
                if now < self.scenario.length {
                    self.next_arrival(flow);
                    let left = self.scenario.flows[flow].returns;
                    self.offer_flow(flow, left, false);
                }
            }
            Event::Return { flow, left } => self.offer_flow(flow, left, true),
            Event::Sample { trainer, slot } => self.offer_sample(trainer, slot),
            Event::Trained(trainer) => {
                let wanted = self.trainers[trainer].trained(now);
                self.want(trainer, wanted);
            }
            Event::Look { upstream, version } if version == self.versions[upstream] => {
                let over = self.upstreams[upstream].finished(now);
                let far = self.views[upstream].zone != self.views[0].zone;
                for f in over {
                    if let Some(asked) = self.asked.get_mut(&f.job.0) {
                        asked.spent += f.work;
                        asked.ran += 1;
                    }
                    let (ticket, attempt) = f.job;
                    let outcome = Ending::Answered;
                    let at = if far { now + FAR } else { now };
                    self.at(at, Event::Deliver { ticket, attempt, outcome });
                }
                self.look(upstream);
            }
            Event::Look { .. } => {}
            Event::Deliver { ticket, attempt, outcome } => self.deliver(ticket, attempt, outcome),
            Event::Deadline(ticket) => self.deadline(ticket),
            Event::Begin(change) => self.change(change, true),
            Event::End(change) => self.change(change, false),
            Event::Leave(upstream) => {
                self.at(now + LAG / 2, Event::Listed(upstream, false));
                self.at(now + REPLACE, Event::Down(upstream));
                self.at(now + REPLACE * 2, Event::Up(upstream));
                self.at(now + REPLACE * 2, Event::Listed(upstream, true));
            }
            Event::Listed(upstream, listed) => {
                self.listed[upstream] = listed;
                self.views[upstream].accepting = listed;
                self.policy.set_upstreams(&self.views, now);
            }
            Event::Down(upstream) => self.down(upstream),
            Event::Up(upstream) => {
                self.upstreams[upstream].advance(now);
                self.upstreams[upstream].down = false;
            }
            Event::Freeze(upstream, frozen) => {
                self.upstreams[upstream].advance(now);
                self.upstreams[upstream].frozen = frozen;
                self.look(upstream);
            }
            Event::Crash(upstream, ticket, attempt) => {
                let there = |a: &Asked| a.at == Some(upstream) && a.attempt == attempt;
                if self.asked.get(&ticket).is_some_and(there) {
                    self.down(upstream);
                    self.at(now + RESTART, Event::Up(upstream));
                }
            }
            Event::Tick => {
                self.policy.tick(now);
                self.at(now + TICK, Event::Tick);
            }
            Event::Reports => {
                for (upstream, view) in self.upstreams.iter().zip(&self.views) {
                    let report = LoadReport { total: upstream.len() as u32, requested_at: now };
                    self.policy.load_report(&view.name, report);
                }
                self.at(now + REPORTS, Event::Reports);
            }
        }
    }

    fn act(&mut self) {
        loop {
            let actions = self.policy.actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    DispatchAction::Send { ticket, upstream } => self.send(ticket, &upstream),
                    DispatchAction::Refuse { ticket, refusal } => self.refused(ticket, &refusal),
                }
            }
        }
    }

    fn send(&mut self, ticket: Ticket, upstream: &Name) {
        let now = self.now;
        let at = self.index[upstream];
        let Some(asked) = self.asked.get_mut(&ticket) else { return };
        asked.attempt += 1;
        asked.sent = now;
        let (attempt, work, prefix) = (asked.attempt, asked.work, asked.call.prefix);
        if self.upstreams[at].down {
            let outcome = Ending::Unsent;
            self.at(now + REFUSED, Event::Deliver { ticket, attempt, outcome });
            return;
        }
        if !self.upstreams[at].take((ticket, attempt), work, prefix, now) {
            let outcome = Ending::Refused;
            self.at(now + REFUSED, Event::Deliver { ticket, attempt, outcome });
            return;
        }
        asked.at = Some(at);
        let source = asked.source;
        self.look(at);
        if let Source::Flow { index, .. } = source
            && self.scenario.flows[index].poison
        {
            self.at(now + POISON, Event::Crash(at, ticket, attempt));
        }
    }

    fn deliver(&mut self, ticket: Ticket, attempt: u32, outcome: Ending) {
        let now = self.now;
        let Some(asked) = self.asked.get_mut(&ticket) else { return };
        if asked.attempt != attempt {
            return;
        }
        asked.at = None;
        let outcome = outcome.outcome();
        let report = AttemptReport { outcome, took: now - asked.sent, actual_cost: None };
        if outcome == AttemptOutcome::Answered
            && let Some(mut asked) = self.asked.remove(&ticket)
        {
            self.recount(&mut asked);
            self.answered(&asked);
        }
        self.policy.ended(ticket, report, now);
    }

    fn answered(&mut self, asked: &Asked) {
        let result = self.result_of(asked.source);
        if asked.counted {
            let result = &mut self.results[result];
            result.answer(self.now - asked.offered, asked.work);
            result.wasted += (asked.spent - asked.work).max(0.0);
        }
        self.settle(asked);
        match asked.source {
            Source::Flow { returned, .. } => {
                if returned && asked.counted {
                    self.results[result].kept += 1;
                }
            }
            Source::Trainer { index, slot, version } => {
                let wanted = self.trainers[index].fill(slot, version, self.now);
                self.want(index, wanted);
            }
        }
    }

    fn refused(&mut self, ticket: Ticket, refusal: &Refusal) {
        let Some(mut asked) = self.asked.remove(&ticket) else { return };
        self.recount(&mut asked);
        let after = refusal.retry_after.unwrap_or(Duration::from_secs(1));
        let result = self.result_of(asked.source);
        if asked.counted {
            *self.results[result].refused.entry(refusal.kind).or_default() += 1;
            self.results[result].wasted += asked.spent;
        }
        self.settle(&asked);
        match asked.source {
            Source::Flow { index, left, .. } if left > 0 => {
                self.at(self.now + after, Event::Return { flow: index, left: left - 1 });
            }
            Source::Flow { .. } => {}
            Source::Trainer { index, slot, .. } => {
                self.at(self.now + after, Event::Sample { trainer: index, slot });
            }
        }
    }

    fn deadline(&mut self, ticket: Ticket) {
        let Some(mut asked) = self.asked.remove(&ticket) else { return };
        self.recount(&mut asked);
        if let Some(at) = asked.at {
            asked.spent += self.upstreams[at].cancel((ticket, asked.attempt), self.now);
            self.look(at);
        }
        let result = self.result_of(asked.source);
        if asked.counted {
            self.results[result].late += 1;
            self.results[result].wasted += asked.spent;
        }
        self.settle(&asked);
        self.policy.withdraw(ticket, self.now);
        if let Source::Trainer { index, slot, .. } = asked.source {
            self.offer_sample(index, slot);
        }
    }

    /// Samples wait for minutes: they count by when they end, not by when they were asked for.
    fn recount(&self, asked: &mut Asked) {
        if let Source::Trainer { .. } = asked.source {
            asked.counted = self.counts();
        }
    }

    /// What is counted whatever the end was.
    fn settle(&mut self, asked: &Asked) {
        let result = self.result_of(asked.source);
        let result = &mut self.results[result];
        if let Source::Trainer { .. } = asked.source {
            result.offered += u64::from(asked.counted);
        }
        if asked.counted {
            result.attempts += u64::from(asked.attempt);
            result.tried += u64::from(asked.attempt > 0);
        }
        if asked.call.repeat == Repeat::Once && asked.ran > 1 {
            result.doubled += 1;
        }
    }

    pub(super) fn look(&mut self, upstream: usize) {
        self.versions[upstream] += 1;
        let version = self.versions[upstream];
        if let Some(at) = self.upstreams[upstream].next() {
            self.at(at.max(self.now), Event::Look { upstream, version });
        }
    }

    pub(super) fn at(&mut self, at: Moment, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number, event)));
    }

    fn result_of(&self, source: Source) -> usize {
        match source {
            Source::Flow { index, .. } => index,
            Source::Trainer { index, .. } => self.scenario.flows.len() + index,
        }
    }

    fn result(self) -> RunResult {
        let end = self.scenario.length;
        let model = self.scenario.model();
        RunResult {
            counted: end - self.scenario.warmup,
            capacity: model.capacity() * self.upstreams.len() as f64,
            trainers: self.trainers.iter().map(|t| t.result(end)).collect(),
            flows: self.results,
        }
    }
}
