//! The samples that wait for a slot at a replica, and the order in which they get one.
//!
//! Load pattern: the samples of a step wait for replicas that get one sample at a time until they
//! have reported their load, so that each response head frees a slot at its replica. Checking
//! all waiting samples at each head costs heads times samples, thousands of each; checking only
//! periodically leaves every slot empty for half of the period. So samples wait in a queue
//! for each kind of slot, and a response head offers its own replica to the first samples of the
//! queues that the replica serves: that costs as much with thousands of replicas as with ten.
//!
//! Load pattern: several trainers, or many organisations, need more slots than there are. Served
//! strictly by priority or in order of submission, the less urgent or the smaller ones would get
//! next to nothing. So each gets slots in proportion to its weight, and its own samples are served
//! by [`SampleRank`].

use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::ops::Bound;

use super::{AttemptRequest, Fleet};
use crate::decide::FairQueue;
use crate::decide::load::{
    OpenStep, SampleRank, ShareOrder, ShareOutcome, ShareView, StepOrder, TextLength, Trainer,
    TrainerDemand,
};
use crate::edge::replica::Target;
use crate::{Moment, Name};

/// While a trainer has samples of steps that can still be in time and of others, the others get one
/// slot after this many of the former. They are of less use, but end only if they get slots.
const TIMELY_GRANTS_PER_LATE: u32 = 7;
/// Number of trainers at their shares that are tried for one slot beyond the shares.
const MAX_TRIED_OVER_SHARE: usize = 4;
/// Number of kinds of slots without waiting samples that are remembered with the virtual times of
/// their trainers. A node has a few models; clients may name any.
const MAX_IDLE_KINDS: usize = 64;
/// What one sample counts in the fair order of trainers.
const SAMPLE_COST: u32 = 1;

/// A kind of slot: a service, and the model that is requested there.
type Kind = (Name, Option<Name>);

/// A step, a group of it and a sample of that, by which a waiting sample is found.
type SampleId = (u64, u64, u64);

/// The requirements of a waiting sample.
#[derive(Debug, Clone)]
pub struct SlotRequest {
    /// The service.
    pub service: Name,
    /// The model; none if any replica of the service will do.
    pub model: Option<Name>,
    /// Minimum version of the model.
    pub min_version: u64,
    /// Replicas at which earlier attempts failed.
    pub avoid: Vec<Name>,
    /// The length of the text.
    pub length: TextLength,
    /// Whether the replica with the fewest requests is chosen, as the sample may crash it.
    pub apart: bool,
}

impl SlotRequest {
    fn kind(&self) -> Kind {
        (self.service.clone(), self.model.clone())
    }

    fn attempt_request(&self) -> AttemptRequest<'_> {
        AttemptRequest {
            service: &self.service,
            weights: self.model.as_deref().map(|model| (model, self.min_version)),
            avoid: &self.avoid,
            length: self.length,
            allow_full: false,
            apart: self.apart,
        }
    }
}

#[derive(Debug)]
struct Waiter<G> {
    request: SlotRequest,
    /// Returned to the caller together with the slot.
    grant: G,
}

/// A slot for a sample that waited.
#[derive(Debug)]
pub struct Grant<G> {
    /// The value by which the sample is notified.
    pub grant: G,
    /// The replica.
    pub target: Target,
    /// The trainer that holds the slot until [`SlotQueue::end_run`].
    pub trainer: Trainer,
    /// Whether the trainer holds more slots than its share.
    pub over_share: bool,
}

/// The waiting samples of one trainer.
#[derive(Debug)]
struct TrainerQueue<G> {
    samples: BTreeMap<SampleRank, Waiter<G>>,
    /// Slots given to steps that can still be in time since the last one given to another step.
    timely_grants: u32,
}

impl<G> Default for TrainerQueue<G> {
    fn default() -> Self {
        Self { samples: BTreeMap::new(), timely_grants: 0 }
    }
}

impl<G> TrainerQueue<G> {
    /// Returns the sample that is served next.
    fn first(&self) -> Option<(SampleRank, &Waiter<G>)> {
        let due = self.timely_grants >= TIMELY_GRANTS_PER_LATE;
        let late = || self.samples.range(SampleRank::first_late()..).next();
        let late = if due { late() } else { None };
        late.map(|(rank, waiter)| (*rank, waiter)).or_else(|| self.first_in_turn())
    }

    /// Returns the sample with the first rank.
    fn first_in_turn(&self) -> Option<(SampleRank, &Waiter<G>)> {
        self.samples.first_key_value().map(|(rank, waiter)| (*rank, waiter))
    }

    /// Whether other samples precede that of this rank.
    fn is_out_of_turn(&self, rank: &SampleRank) -> bool {
        self.samples.first_key_value().is_some_and(|(first, _)| first != rank)
    }

    /// Returns the first sample of the first step after that of a rank.
    fn first_after_step(&self, rank: &SampleRank) -> Option<(SampleRank, &Waiter<G>)> {
        let range = (Bound::Excluded(rank.end_of_step()), Bound::Unbounded);
        self.samples.range(range).next().map(|(rank, waiter)| (*rank, waiter))
    }

    fn take(&mut self, rank: &SampleRank, served: bool) -> Option<Waiter<G>> {
        if served && rank.late {
            self.timely_grants = 0;
        } else if served {
            self.timely_grants = self.timely_grants.saturating_add(1);
        }
        self.samples.remove(rank)
    }
}

/// The samples that wait for one kind of slot.
#[derive(Debug)]
struct KindQueue<G> {
    /// The order in which the organisations are served.
    order: FairQueue<Option<Name>>,
    trainers: HashMap<Option<Name>, TrainerQueue<G>>,
    /// The number of waiting samples by the minimum version of the model.
    versions: BTreeMap<u64, usize>,
}

impl<G> Default for KindQueue<G> {
    fn default() -> Self {
        Self { order: FairQueue::default(), trainers: HashMap::new(), versions: BTreeMap::new() }
    }
}

/// The open steps of one trainer.
#[derive(Debug, Default)]
struct TrainerSteps {
    count: usize,
    /// The priority of the latest one.
    priority: u8,
}

/// The trainers of one service.
#[derive(Debug, Default)]
struct ServiceState {
    /// The trainers with open steps at this node.
    trainers: HashMap<Trainer, TrainerSteps>,
    /// Whether the leader knows of several trainers.
    contended: bool,
    /// The present in the virtual time that the trainers' queues have in common.
    clock: u64,
}

impl ServiceState {
    fn is_shared(&self) -> bool {
        self.contended || self.trainers.len() > 1
    }
}

/// The waiting samples, each with a value `G` by which it is notified of its slot.
#[derive(Debug)]
pub struct SlotQueue<G> {
    kinds: BTreeMap<Kind, KindQueue<G>>,
    services: HashMap<Name, ServiceState>,
    /// The open steps by id.
    steps: BTreeMap<u64, StepOrder>,
    /// The trainer and the present rank of each waiting sample.
    samples: BTreeMap<SampleId, (Trainer, SampleRank)>,
    /// The number of slots that each trainer holds.
    running: HashMap<Trainer, u32>,
    /// The shares that the leader computed.
    view: ShareView,
    /// The trainers that hold their shares, whose samples wait although slots may be free.
    at_share: BTreeSet<Trainer>,
    /// The one of them that was last tried for a slot beyond its share.
    last_tried: Option<Trainer>,
    /// The number of kinds, trainers and samples that decisions have looked at.
    examined: Cell<u64>,
}

impl<G> Default for SlotQueue<G> {
    fn default() -> Self {
        Self {
            kinds: BTreeMap::new(),
            services: HashMap::new(),
            steps: BTreeMap::new(),
            samples: BTreeMap::new(),
            running: HashMap::new(),
            view: ShareView::default(),
            at_share: BTreeSet::new(),
            last_tried: None,
            examined: Cell::new(0),
        }
    }
}

impl<G> SlotQueue<G> {
    /// Whether no sample waits.
    pub fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }

    /// Returns the number of kinds of slots, trainers and samples that decisions have looked at so
    /// far, which measures their cost.
    pub fn examined(&self) -> u64 {
        self.examined.get()
    }

    fn count_examined(&self) {
        self.examined.set(self.examined.get() + 1);
    }

    /// Adds a step whose samples will wait for slots.
    pub fn open_step(&mut self, step: StepOrder, now: Moment) {
        let open = &step.open;
        for service in &open.services {
            let state = self.services.entry(service.clone()).or_default();
            state.contended = self.view.contended().contains(service);
            let steps = state.trainers.entry(trainer(open, service, &open.model)).or_default();
            steps.count += 1;
            steps.priority = open.priority;
        }
        self.steps.insert(open.id, step);
        self.refresh(now);
    }

    /// Removes a step whose samples have all ended.
    pub fn close_step(&mut self, step: u64, now: Moment) {
        let Some(step) = self.steps.remove(&step) else { return };
        for service in &step.open.services {
            let Some(state) = self.services.get_mut(service) else { continue };
            let trainer = trainer(&step.open, service, &step.open.model);
            if let Some(steps) = state.trainers.get_mut(&trainer) {
                steps.count -= 1;
                if steps.count == 0 {
                    state.trainers.remove(&trainer);
                }
            }
            if state.trainers.is_empty() {
                self.services.remove(service);
                // Their virtual times would not agree with those of the service's next trainers.
                self.kinds.retain(|kind, queue| kind.0 != *service || !queue.versions.is_empty());
            }
        }
        self.refresh(now);
    }

    /// Records that a sample has its result.
    pub fn finish_sample(&mut self, step: u64, index: u64) {
        let Some(order) = self.steps.get_mut(&step) else { return };
        let group = order.group(index);
        if order.finish(index) {
            self.update_ranks(step, Some(group));
        }
    }

    /// Applies the shares that the leader sent, unless they are outdated.
    pub fn set_shares(&mut self, order: ShareOrder, now: Moment) -> ShareOutcome {
        let outcome = self.view.accept(order, now);
        if outcome == ShareOutcome::Accepted {
            self.apply_view();
            self.refresh(now);
        }
        outcome
    }

    /// Returns the demand of at most `limit` trainers, those with the most samples.
    pub fn demand(&self, limit: usize) -> Vec<TrainerDemand> {
        let trainers = self.services.values().flat_map(|state| &state.trainers);
        let mut demands: Vec<TrainerDemand> = trainers
            .map(|(trainer, steps)| TrainerDemand {
                trainer: trainer.clone(),
                priority: steps.priority,
                waiting: self.waiting(trainer) as u32,
                running: self.running(trainer),
            })
            .filter(|demand| demand.waiting + demand.running > 0)
            .collect();
        demands.sort_unstable_by(|a, b| {
            let samples = |demand: &TrainerDemand| demand.waiting + demand.running;
            samples(b).cmp(&samples(a)).then_with(|| a.trainer.cmp(&b.trainer))
        });
        demands.truncate(limit);
        demands
    }

    fn waiting(&self, trainer: &Trainer) -> usize {
        let kind = (trainer.service.clone(), trainer.model.clone());
        let queue = self.kinds.get(&kind).and_then(|k| k.trainers.get(&trainer.organisation));
        queue.map_or(0, |queue| queue.samples.len())
    }

    fn running(&self, trainer: &Trainer) -> u32 {
        self.running.get(trainer).copied().unwrap_or(0)
    }

    /// Brings the order in line with a change of the shares.
    fn apply_view(&mut self) {
        for (service, state) in &mut self.services {
            state.contended = self.view.contended().contains(service);
        }
        let running: Vec<Trainer> = self.running.keys().cloned().collect();
        for trainer in std::mem::take(&mut self.at_share).into_iter().chain(running) {
            self.check_share(&trainer, true);
        }
    }

    /// Leaves a trainer that holds its share out of the order, or takes it in again. `changed` is
    /// set if that may not be as `at_share` says.
    fn check_share(&mut self, trainer: &Trainer, changed: bool) {
        let at_share = self.view.share(trainer).is_some_and(|share| self.running(trainer) >= share);
        let known = self.at_share.contains(trainer);
        if at_share == known && !changed {
            return;
        }
        if at_share {
            self.at_share.insert(trainer.clone());
        } else {
            self.at_share.remove(trainer);
        }
        let kind = (trainer.service.clone(), trainer.model.clone());
        let Some(queue) = self.kinds.get_mut(&kind) else { return };
        match at_share {
            true => queue.order.pause(&trainer.organisation),
            false => queue.order.resume(&trainer.organisation),
        }
    }

    /// Brings the ranks up to date with the time and with the trainers of each service.
    pub fn refresh(&mut self, now: Moment) {
        if self.view.expire(now) {
            self.apply_view();
        }
        let services = &self.services;
        let shared = |service: &Name| services.get(service).is_some_and(ServiceState::is_shared);
        let steps = self.steps.values_mut();
        let changed: Vec<u64> = steps
            .filter_map(|step| {
                let shared = step.open.services.iter().any(shared);
                step.refresh(shared, now).then_some(step.open.id)
            })
            .collect();
        for step in changed {
            self.update_ranks(step, None);
        }
    }

    /// Moves the waiting samples of a step, or of one group of it, to their present ranks.
    fn update_ranks(&mut self, step: u64, group: Option<u64>) {
        let Some(order) = self.steps.get(&step) else { return };
        let (first, last) = (group.unwrap_or(0), group.unwrap_or(u64::MAX));
        let range = (step, first, 0)..=(step, last, u64::MAX);
        for ((_, _, index), (trainer, known)) in self.samples.range_mut(range) {
            self.examined.set(self.examined.get() + 1);
            let rank = order.rank(*index);
            let kind = (trainer.service.clone(), trainer.model.clone());
            let queue = self.kinds.get_mut(&kind);
            if let Some(queue) = queue.and_then(|k| k.trainers.get_mut(&trainer.organisation))
                && let Some(waiter) = queue.samples.remove(known)
            {
                queue.samples.insert(rank, waiter);
                *known = rank;
            }
        }
    }

    /// Adds a sample of an open step that begins to wait. Without its step, `grant` is dropped.
    pub fn add(&mut self, step: u64, index: u64, request: SlotRequest, grant: G) {
        let Some(order) = self.steps.get(&step) else { return };
        let rank = order.rank(index);
        let trainer = trainer(&order.open, &request.service, &request.model);
        let weight = Trainer::weight(order.open.priority);
        let clock = self.services.get(&request.service).map_or(0, |state| state.clock);
        let kind = self.kinds.entry(request.kind()).or_default();
        kind.order.advance(clock);
        kind.order.add(&trainer.organisation, weight, SAMPLE_COST);
        *kind.versions.entry(request.min_version).or_default() += 1;
        let queue = kind.trainers.entry(trainer.organisation.clone()).or_default();
        queue.samples.insert(rank, Waiter { request, grant });
        if self.at_share.contains(&trainer) {
            kind.order.pause(&trainer.organisation);
        }
        self.samples.insert((step, order.group(index), index), (trainer, rank));
    }

    /// Removes a sample that no longer waits.
    pub fn remove(&mut self, step: u64, index: u64) {
        let group = self.steps.get(&step).map_or(index, |order| order.group(index));
        if let Some((trainer, rank)) = self.samples.get(&(step, group, index)).cloned() {
            drop(self.take(&trainer, &rank, false));
        }
    }

    /// Records that a trainer released a slot.
    pub fn end_run(&mut self, trainer: &Trainer) {
        if let Some(count) = self.running.get_mut(trainer) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.running.remove(trainer);
            }
        }
        self.check_share(trainer, false);
    }

    /// Assigns all free slots, in order of the trainers and the ranks. [`Fleet::start_attempt`] has
    /// been called for each returned sample.
    pub fn assign_all(&mut self, fleet: &mut Fleet, now: Moment) -> Vec<Grant<G>> {
        let kinds = self.kinds.keys().cloned().collect();
        self.assign(fleet, now, kinds, |fleet, request| {
            fleet.choose(&request.attempt_request(), now)
        })
    }

    /// Assigns all free slots, and one more to a trainer that holds its share, so that no slot stays
    /// free until the next shares arrive. This is called at intervals: a trainer that took each slot
    /// that it released again would never get down to its share.
    pub fn assign_over_share(&mut self, fleet: &mut Fleet, now: Moment) -> Vec<Grant<G>> {
        let mut assigned = self.assign_all(fleet, now);
        assigned.extend(self.assign_one_over_share(fleet, now));
        assigned
    }

    /// Assigns a slot to a trainer that holds its share.
    fn assign_one_over_share(&mut self, fleet: &mut Fleet, now: Moment) -> Option<Grant<G>> {
        for _ in 0..MAX_TRIED_OVER_SHARE.min(self.at_share.len()) {
            let after = self.last_tried.as_ref().and_then(|last| {
                self.at_share.range((Bound::Excluded(last), Bound::Unbounded)).next()
            });
            let trainer = after.or_else(|| self.at_share.first())?.clone();
            self.last_tried = Some(trainer.clone());
            self.count_examined();
            let kind = (trainer.service.clone(), trainer.model.clone());
            let kind = self.kinds.get(&kind);
            let queue = kind.and_then(|kind| kind.trainers.get(&trainer.organisation));
            let Some((rank, waiter)) = queue.and_then(TrainerQueue::first) else { continue };
            if let Some(target) = fleet.choose(&waiter.request.attempt_request(), now) {
                return self.grant(&trainer, &rank, target, fleet, now);
            }
        }
        None
    }

    /// Takes a sample out of the queue and counts its slot.
    fn grant(
        &mut self,
        trainer: &Trainer,
        rank: &SampleRank,
        target: Target,
        fleet: &mut Fleet,
        now: Moment,
    ) -> Option<Grant<G>> {
        let waiter = self.take(trainer, rank, true)?;
        fleet.start_attempt(&target.id, now);
        let over_share = self.at_share.contains(trainer);
        *self.running.entry(trainer.clone()).or_default() += 1;
        self.check_share(trainer, false);
        Some(Grant { grant: waiter.grant, target, trainer: trainer.clone(), over_share })
    }

    /// Assigns the free slots of one replica, in order of the trainers and the ranks.
    /// [`Fleet::start_attempt`] has been called for each returned sample.
    pub fn assign_at(&mut self, id: &str, fleet: &mut Fleet, now: Moment) -> Vec<Grant<G>> {
        let Some(listed) = fleet.get(id) else { return Vec::new() };
        let models = listed.versions.iter().map(|(model, _)| Some(model.clone())).chain([None]);
        let kinds = models.map(|model| (listed.service.clone(), model)).collect();
        self.assign(fleet, now, kinds, |fleet, request| {
            fleet.choose_at(id, &request.attempt_request(), now)
        })
    }

    /// Assigns slots of these kinds until there is none for any of them.
    fn assign(
        &mut self,
        fleet: &mut Fleet,
        now: Moment,
        kinds: Vec<Kind>,
        choose: impl Fn(&Fleet, &SlotRequest) -> Option<Target>,
    ) -> Vec<Grant<G>> {
        if self.view.expire(now) {
            self.apply_view();
        }
        let mut assigned = Vec::new();
        // The kinds by the virtual time at which their next trainers are served.
        let mut open: BinaryHeap<Reverse<(u64, Kind)>> =
            kinds.into_iter().filter_map(|kind| self.with_next_tag(kind)).collect();
        while let Some(Reverse((_, kind))) = open.pop() {
            let chosen = self.choose_in(&kind, |request| choose(fleet, request));
            let Some((trainer, rank, target)) = chosen else { continue };
            assigned.extend(self.grant(&trainer, &rank, target, fleet, now));
            open.extend(self.with_next_tag(kind));
        }
        assigned
    }

    /// Returns a kind with the virtual time at which its next trainer is served; none if no trainer
    /// waits for slots of it.
    fn with_next_tag(&self, kind: Kind) -> Option<Reverse<(u64, Kind)>> {
        self.count_examined();
        let tag = self.kinds.get(&kind)?.order.next_tag()?;
        Some(Reverse((tag, kind)))
    }

    /// Chooses a sample of one kind and a replica for it. All samples that require a version that
    /// no free slot has are passed over.
    fn choose_in(
        &self,
        kind: &Kind,
        choose: impl Fn(&SlotRequest) -> Option<Target>,
    ) -> Option<(Trainer, SampleRank, Target)> {
        let queue = self.kinds.get(kind)?;
        let (lowest, _) = queue.versions.first_key_value()?;
        let shared = self.services.get(&kind.0).is_some_and(ServiceState::is_shared);
        let mut unserved = u64::MAX;
        for organisation in queue.order.in_order() {
            let Some(samples) = queue.trainers.get(organisation) else { continue };
            self.count_examined();
            let mut next = samples.first();
            // A late sample that is served out of turn is offered in addition to the others.
            let mut extra = next.as_ref().is_some_and(|(rank, _)| samples.is_out_of_turn(rank));
            while let Some((rank, waiter)) = next {
                self.count_examined();
                if waiter.request.min_version < unserved {
                    if let Some(target) = choose(&waiter.request) {
                        let (service, model) = kind.clone();
                        let trainer =
                            Trainer { service, model, organisation: organisation.clone() };
                        return Some((trainer, rank, target));
                    }
                    unserved = waiter.request.min_version;
                    if unserved <= *lowest || !shared {
                        return None;
                    }
                }
                next = match std::mem::take(&mut extra) {
                    true => samples.first_in_turn(),
                    false => samples.first_after_step(&rank),
                };
            }
        }
        None
    }

    fn take(&mut self, trainer: &Trainer, rank: &SampleRank, served: bool) -> Option<Waiter<G>> {
        let group = self.steps.get(&rank.step).map_or(rank.index, |step| step.group(rank.index));
        self.samples.remove(&(rank.step, group, rank.index));
        let key = (trainer.service.clone(), trainer.model.clone());
        let kind = self.kinds.get_mut(&key)?;
        let queue = kind.trainers.get_mut(&trainer.organisation)?;
        let waiter = queue.take(rank, served)?;
        if queue.samples.is_empty() {
            kind.trainers.remove(&trainer.organisation);
        }
        kind.order.take(&trainer.organisation, SAMPLE_COST, served);
        if let Some(state) = self.services.get_mut(&trainer.service) {
            state.clock = state.clock.max(kind.order.clock());
        }
        let version = waiter.request.min_version;
        if let Some(count) = kind.versions.get_mut(&version) {
            *count -= 1;
            if *count == 0 {
                kind.versions.remove(&version);
            }
        }
        if kind.versions.is_empty() && self.kinds.len() > MAX_IDLE_KINDS {
            self.kinds.remove(&key);
        }
        Some(waiter)
    }
}

/// Returns the trainer of a step's samples at a service.
fn trainer(open: &OpenStep, service: &Name, model: &Option<Name>) -> Trainer {
    let (service, model) = (service.clone(), model.clone());
    Trainer { service, model, organisation: open.organisation.clone() }
}
