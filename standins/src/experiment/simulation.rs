//! Discrete-event simulation of one run of a scenario.

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

use super::event::{Event, OrderedOutcome, PendingRequest, Source};
use super::faults::{LISTING_LAG, REPLACE_INTERVAL};
use super::trainer::TrainerModel;
use super::{Deployment, FlowResult, Policy, PolicyKind, RunResult, Scenario, SimulatedUpstream};

/// Interval between two ticks of the policy, as in the daemon.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two load reports, and therefore the largest age of a report.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Round-trip time to another availability zone.
const CROSS_ZONE_RTT: Duration = Duration::from_millis(3);
/// Time until a connection or a request is refused.
const REFUSAL_LATENCY: Duration = Duration::from_millis(1);
/// How long a poisonous request runs before the upstream crashes.
const POISON_CRASH_DELAY: Duration = Duration::from_millis(200);
/// How long a crashed upstream takes to restart.
const RESTART_TIME: Duration = Duration::from_secs(3);

/// The state of one run.
pub(super) struct Simulation<'a> {
    pub(super) scenario: &'a Scenario,
    /// The factor of the scaled loads.
    pub(super) scale: f64,
    /// The virtual time.
    pub(super) now: Moment,
    /// Scheduled events by time; the number keeps events of the same time in their order.
    pub(super) events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    /// The number of the last scheduled event.
    pub(super) last_event: u64,
    pub(super) policy: Policy,
    pub(super) upstreams: Vec<SimulatedUpstream>,
    /// For each upstream, the number of its last scheduled check for finished attempts.
    pub(super) schedules: Vec<u64>,
    /// What the policy sees of each upstream.
    pub(super) views: Vec<UpstreamView>,
    /// Whether each upstream is offered by the list of VMs.
    pub(super) listed: Vec<bool>,
    /// The index of each upstream by its name.
    pub(super) indices: HashMap<Name, usize>,
    /// Requests that have been neither answered nor refused, and whose deadline has not passed.
    pub(super) requests: BTreeMap<Ticket, PendingRequest>,
    /// For each flow, the factor that changes have set for its load.
    pub(super) load_factors: Vec<f64>,
    /// For each flow, whether its next request is scheduled. That of a flow without load is not.
    pub(super) arrival_scheduled: Vec<bool>,
    pub(super) trainers: Vec<TrainerModel>,
    /// One result for each flow, then one for each trainer.
    pub(super) results: Vec<FlowResult>,
    pub(super) rng: SmallRng,
}

/// Simulates a scenario once. The same arguments give the same result.
pub fn run_scenario(
    scenario: &Scenario,
    deployment: &Deployment,
    scale: f64,
    kind: PolicyKind,
    seed: u64,
) -> RunResult {
    let count = deployment.upstream_count(scenario.uses_engines);
    let views: Vec<UpstreamView> = (0..count)
        .map(|i| UpstreamView {
            name: format!("u{i}").into(),
            zone: format!("zone{}", i % deployment.zones).into(),
            accepting: true,
        })
        .collect();
    let indices = views.iter().enumerate().map(|(i, v)| (v.name.clone(), i)).collect();
    let flows = scenario.flows.iter().map(|f| FlowResult::new(f.name.clone(), f.class));
    let trainers = scenario.trainers.iter();
    let trainer_results =
        trainers.clone().map(|t| FlowResult::new(t.name.clone(), Class::Training));
    let mut simulation = Simulation {
        scenario,
        scale,
        now: Moment::ZERO,
        events: BinaryHeap::new(),
        last_event: 0,
        policy: Policy::new(kind, scenario.limits, scenario.caller_weights(), seed),
        upstreams: (0..count).map(|_| SimulatedUpstream::new(scenario.profile())).collect(),
        schedules: vec![0; count],
        listed: vec![true; count],
        views,
        indices,
        requests: BTreeMap::new(),
        load_factors: vec![1.0; scenario.flows.len()],
        arrival_scheduled: vec![false; scenario.flows.len()],
        trainers: trainers.map(|t| TrainerModel::new(t.at_scale(scale), scenario.warmup)).collect(),
        results: flows.chain(trainer_results).collect(),
        rng: SmallRng::seed_from_u64(seed),
    };
    simulation.schedule_start();
    simulation.run_events();
    simulation.into_result()
}

impl Simulation<'_> {
    /// Schedules the first events.
    fn schedule_start(&mut self) {
        self.policy.set_upstreams(&self.views, self.now);
        (0..self.scenario.flows.len()).for_each(|flow| self.schedule_arrival(flow));
        for trainer in 0..self.trainers.len() {
            let actions = self.trainers[trainer].start_step();
            self.apply_trainer_actions(trainer, actions);
        }
        for (index, change) in self.scenario.changes.iter().enumerate() {
            self.schedule(change.start, Event::ChangeStart(index));
            self.schedule(change.end, Event::ChangeEnd(index));
        }
        self.schedule(TICK_INTERVAL, Event::Tick);
        self.schedule(LOAD_REPORT_INTERVAL, Event::LoadReports);
    }

    /// Handles events until the last request of a flow has reached its deadline.
    fn run_events(&mut self) {
        let max_deadline = self.scenario.flows.iter().map(|f| f.deadline).max().unwrap_or_default();
        let end = self.scenario.length + max_deadline;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                return;
            }
            self.now = at;
            self.handle_event(event);
            self.apply_policy_actions();
        }
    }

    /// Handles one event at the current time.
    fn handle_event(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Arrive(flow) => {
                self.arrival_scheduled[flow] = false;
                if now < self.scenario.length {
                    self.schedule_arrival(flow);
                    let retries_left = self.scenario.flows[flow].max_retries;
                    self.submit_flow_request(flow, retries_left, false);
                }
            }
            Event::Retry { flow, retries_left } => {
                self.submit_flow_request(flow, retries_left, true)
            }
            Event::RetrySample { trainer, sample } => self.submit_sample(trainer, sample),
            Event::TrainingDone(trainer) => {
                let actions = self.trainers[trainer].finish_training(now);
                self.apply_trainer_actions(trainer, actions);
            }
            Event::CheckFinished { upstream, schedule } if schedule == self.schedules[upstream] => {
                let finished = self.upstreams[upstream].take_finished(now);
                let is_remote = self.views[upstream].zone != self.views[0].zone;
                for f in finished {
                    if let Some(request) = self.requests.get_mut(&f.attempt.0) {
                        request.spent += f.work;
                        request.runs += 1;
                    }
                    let (ticket, attempt) = f.attempt;
                    let outcome = OrderedOutcome::Answered;
                    let at = if is_remote { now + CROSS_ZONE_RTT } else { now };
                    self.schedule(at, Event::Deliver { ticket, attempt, outcome });
                }
                self.schedule_check(upstream);
            }
            Event::CheckFinished { .. } => {}
            Event::Deliver { ticket, attempt, outcome } => {
                self.deliver_outcome(ticket, attempt, outcome)
            }
            Event::Deadline(ticket) => self.expire(ticket),
            Event::ChangeStart(change) => self.apply_change(change, true),
            Event::ChangeEnd(change) => self.apply_change(change, false),
            Event::Replace(upstream) => {
                self.schedule(now + LISTING_LAG / 2, Event::SetListed(upstream, false));
                self.schedule(now + REPLACE_INTERVAL, Event::Down(upstream));
                self.schedule(now + REPLACE_INTERVAL * 2, Event::Up(upstream));
                self.schedule(now + REPLACE_INTERVAL * 2, Event::SetListed(upstream, true));
            }
            Event::SetListed(upstream, listed) => {
                self.listed[upstream] = listed;
                self.views[upstream].accepting = listed;
                self.policy.set_upstreams(&self.views, now);
            }
            Event::Down(upstream) => self.take_down(upstream),
            Event::Up(upstream) => {
                self.upstreams[upstream].advance(now);
                self.upstreams[upstream].down = false;
            }
            Event::SetFrozen(upstream, frozen) => {
                self.upstreams[upstream].advance(now);
                self.upstreams[upstream].frozen = frozen;
                self.schedule_check(upstream);
            }
            Event::Crash(upstream, ticket, attempt) => {
                let still_runs =
                    |r: &PendingRequest| r.upstream == Some(upstream) && r.attempt == attempt;
                if self.requests.get(&ticket).is_some_and(still_runs) {
                    self.take_down(upstream);
                    self.schedule(now + RESTART_TIME, Event::Up(upstream));
                }
            }
            Event::Tick => {
                self.policy.tick(now);
                self.schedule(now + TICK_INTERVAL, Event::Tick);
            }
            Event::LoadReports => {
                for (upstream, view) in self.upstreams.iter().zip(&self.views) {
                    let report = LoadReport { total: upstream.len() as u32, requested_at: now };
                    self.policy.load_report(&view.name, report);
                }
                self.schedule(now + LOAD_REPORT_INTERVAL, Event::LoadReports);
            }
        }
    }

    /// Applies the actions of the policy until it has none left.
    fn apply_policy_actions(&mut self) {
        loop {
            let actions = self.policy.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    DispatchAction::Send { ticket, upstream } => {
                        self.send_attempt(ticket, &upstream)
                    }
                    DispatchAction::Refuse { ticket, refusal } => {
                        self.record_refusal(ticket, &refusal)
                    }
                }
            }
        }
    }

    /// Sends an attempt of a request to an upstream.
    fn send_attempt(&mut self, ticket: Ticket, upstream: &Name) {
        let now = self.now;
        let at = self.indices[upstream];
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        request.attempt += 1;
        request.sent = now;
        let (attempt, work, prefix) = (request.attempt, request.work, request.call.prefix);
        if self.upstreams[at].down {
            let outcome = OrderedOutcome::Unsent;
            self.schedule(now + REFUSAL_LATENCY, Event::Deliver { ticket, attempt, outcome });
            return;
        }
        if !self.upstreams[at].accept((ticket, attempt), work, prefix, now) {
            let outcome = OrderedOutcome::Refused;
            self.schedule(now + REFUSAL_LATENCY, Event::Deliver { ticket, attempt, outcome });
            return;
        }
        request.upstream = Some(at);
        let source = request.source;
        self.schedule_check(at);
        if let Source::Flow { index, .. } = source
            && self.scenario.flows[index].crashes_upstream
        {
            self.schedule(now + POISON_CRASH_DELAY, Event::Crash(at, ticket, attempt));
        }
    }

    /// Reports the outcome of an attempt to the policy, unless a later attempt has replaced it.
    fn deliver_outcome(&mut self, ticket: Ticket, attempt: u32, outcome: OrderedOutcome) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        if request.attempt != attempt {
            return;
        }
        request.upstream = None;
        let outcome = outcome.outcome();
        let report = AttemptReport { outcome, took: now - request.sent, actual_cost: None };
        if outcome == AttemptOutcome::Answered
            && let Some(mut request) = self.requests.remove(&ticket)
        {
            self.update_counted(&mut request);
            self.record_answer(&request);
        }
        self.policy.attempt_ended(ticket, report, now);
    }

    /// Records an answered request and passes a sample on to its trainer.
    fn record_answer(&mut self, request: &PendingRequest) {
        let result = self.result_index(request.source);
        if request.counted {
            let result = &mut self.results[result];
            result.record_answer(self.now - request.submitted, request.work);
            result.wasted += (request.spent - request.work).max(0.0);
        }
        self.record_end(request);
        match request.source {
            Source::Flow { is_retry, .. } => {
                if is_retry && request.counted {
                    self.results[result].retries_answered += 1;
                }
            }
            Source::Trainer { index, sample, version } => {
                let actions = self.trainers[index].receive_sample(sample, version, self.now);
                self.apply_trainer_actions(index, actions);
            }
        }
    }

    /// Records a refused request and schedules its retry, if it has one left.
    fn record_refusal(&mut self, ticket: Ticket, refusal: &Refusal) {
        let Some(mut request) = self.requests.remove(&ticket) else { return };
        self.update_counted(&mut request);
        let retry_after = refusal.retry_after.unwrap_or(Duration::from_secs(1));
        let result = self.result_index(request.source);
        if request.counted {
            *self.results[result].refused.entry(refusal.kind).or_default() += 1;
            self.results[result].wasted += request.spent;
        }
        self.record_end(&request);
        match request.source {
            Source::Flow { index, retries_left, .. } if retries_left > 0 => {
                self.schedule(
                    self.now + retry_after,
                    Event::Retry { flow: index, retries_left: retries_left - 1 },
                );
            }
            Source::Flow { .. } => {}
            Source::Trainer { index, sample, .. } => {
                self.schedule(
                    self.now + retry_after,
                    Event::RetrySample { trainer: index, sample },
                );
            }
        }
    }

    /// Drops a request whose deadline has passed; a trainer submits the sample again.
    fn expire(&mut self, ticket: Ticket) {
        let Some(mut request) = self.requests.remove(&ticket) else { return };
        self.update_counted(&mut request);
        if let Some(at) = request.upstream {
            request.spent += self.upstreams[at].cancel((ticket, request.attempt), self.now);
            self.schedule_check(at);
        }
        let result = self.result_index(request.source);
        if request.counted {
            self.results[result].timed_out += 1;
            self.results[result].wasted += request.spent;
        }
        self.record_end(&request);
        self.policy.cancel(ticket, self.now);
        if let Source::Trainer { index, sample, .. } = request.source {
            self.submit_sample(index, sample);
        }
    }

    /// Sets whether the results include a sample. Samples can take minutes, so that depends on
    /// when they end, not on when they were submitted.
    fn update_counted(&self, request: &mut PendingRequest) {
        if let Source::Trainer { .. } = request.source {
            request.counted = self.is_measuring();
        }
    }

    /// Records what is counted for every outcome of a request.
    fn record_end(&mut self, request: &PendingRequest) {
        let result = self.result_index(request.source);
        let result = &mut self.results[result];
        if let Source::Trainer { .. } = request.source {
            result.offered += u64::from(request.counted);
        }
        if request.counted {
            result.attempts += u64::from(request.attempt);
            result.attempted += u64::from(request.attempt > 0);
        }
        if request.call.repeat == Repeat::Once && request.runs > 1 {
            result.duplicate_runs += 1;
        }
    }

    /// Schedules the next check for finished attempts of an upstream; earlier checks become void.
    pub(super) fn schedule_check(&mut self, upstream: usize) {
        self.schedules[upstream] += 1;
        let schedule = self.schedules[upstream];
        if let Some(at) = self.upstreams[upstream].next_finish() {
            self.schedule(at.max(self.now), Event::CheckFinished { upstream, schedule });
        }
    }

    /// Schedules an event.
    pub(super) fn schedule(&mut self, at: Moment, event: Event) {
        self.last_event += 1;
        self.events.push(Reverse((at, self.last_event, event)));
    }

    /// The index of the result that a request counts for.
    fn result_index(&self, source: Source) -> usize {
        match source {
            Source::Flow { index, .. } => index,
            Source::Trainer { index, .. } => self.scenario.flows.len() + index,
        }
    }

    /// Returns the results after the last event.
    fn into_result(self) -> RunResult {
        let end = self.scenario.length;
        let profile = self.scenario.profile();
        RunResult {
            measured_time: end - self.scenario.warmup,
            capacity: profile.capacity() * self.upstreams.len() as f64,
            trainers: self.trainers.iter().map(|t| t.result(end)).collect(),
            flows: self.results,
        }
    }
}
