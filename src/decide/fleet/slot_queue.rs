//! The samples that wait for a slot at a replica, and the order in which they get one.
//!
//! Load pattern: the samples of a step wait for replicas that get one sample at a time until they
//! have reported their load, so that each response head frees a slot at its replica. Checking
//! all waiting samples at each head costs heads times samples, thousands of each; checking only
//! periodically leaves every slot empty for half of the period. So samples wait in a queue
//! for each kind of slot, and a response head offers its own replica to the first samples of the
//! queues that the replica serves: that costs as much with thousands of replicas as with ten.

use std::collections::BTreeMap;

use super::{AttemptRequest, Fleet};
use crate::decide::load::TextLength;
use crate::edge::replica::Target;
use crate::{Moment, Name};

/// The order in which samples get slots: priority of the route, age of the job, index.
pub type WaitPosition = (u8, u64, u64);

/// A kind of slot: a service, and the model that is requested there.
type Kind = (Name, Option<Name>);

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
        }
    }
}

#[derive(Debug)]
struct Waiter<G> {
    request: SlotRequest,
    /// Returned to the caller together with the slot.
    grant: G,
}

/// The waiting samples, each with a value `G` by which it is notified of its slot.
#[derive(Debug)]
pub struct SlotQueue<G> {
    kinds: BTreeMap<Kind, BTreeMap<WaitPosition, Waiter<G>>>,
}

impl<G> Default for SlotQueue<G> {
    fn default() -> Self {
        Self { kinds: BTreeMap::new() }
    }
}

impl<G> SlotQueue<G> {
    /// Whether no sample waits.
    pub fn is_empty(&self) -> bool {
        self.kinds.is_empty()
    }

    /// Adds a sample that begins to wait.
    pub fn add(&mut self, position: WaitPosition, request: SlotRequest, grant: G) {
        let queue = self.kinds.entry(request.kind()).or_default();
        queue.insert(position, Waiter { request, grant });
    }

    /// Removes a sample that no longer waits.
    pub fn remove(&mut self, position: WaitPosition, service: &Name, model: &Option<Name>) {
        drop(self.take(position, &(service.clone(), model.clone())));
    }

    /// Assigns all free slots, in order of the waiting positions. [`Fleet::start_attempt`] has
    /// been called for each returned sample.
    pub fn assign_all(&mut self, fleet: &mut Fleet, now: Moment) -> Vec<(G, Target)> {
        self.assign(
            fleet,
            now,
            |_| true,
            |fleet, request| fleet.choose(&request.attempt_request(), now),
        )
    }

    /// Assigns the free slots of one replica, in order of the waiting positions.
    /// [`Fleet::start_attempt`] has been called for each returned sample.
    pub fn assign_at(&mut self, id: &str, fleet: &mut Fleet, now: Moment) -> Vec<(G, Target)> {
        let Some(service) = fleet.get(id).map(|listed| listed.service.clone()) else {
            return Vec::new();
        };
        let served = |kind: &Kind| kind.0 == service;
        self.assign(fleet, now, served, |fleet, request| {
            fleet.choose_at(id, &request.attempt_request(), now)
        })
    }

    /// Assigns slots to the first sample of each queue until there is none for it.
    fn assign(
        &mut self,
        fleet: &mut Fleet,
        now: Moment,
        served: impl Fn(&Kind) -> bool,
        choose: impl Fn(&Fleet, &SlotRequest) -> Option<Target>,
    ) -> Vec<(G, Target)> {
        let mut assigned = Vec::new();
        let mut open: Vec<Kind> = self.kinds.keys().filter(|kind| served(kind)).cloned().collect();
        while let Some((position, index)) = self.first(&open) {
            let kind = &open[index];
            let chosen = self.kinds[kind].get(&position).and_then(|w| choose(fleet, &w.request));
            match chosen.and_then(|target| Some((self.take(position, kind)?, target))) {
                Some((waiter, target)) => {
                    fleet.start_attempt(&target.id, now);
                    assigned.push((waiter.grant, target));
                }
                None => drop(open.swap_remove(index)),
            }
        }
        assigned
    }

    /// Returns the first position in these queues, and the index of its queue in `open`.
    fn first(&self, open: &[Kind]) -> Option<(WaitPosition, usize)> {
        let firsts = open.iter().enumerate().filter_map(|(index, kind)| {
            let (position, _) = self.kinds.get(kind)?.first_key_value()?;
            Some((*position, index))
        });
        firsts.min()
    }

    fn take(&mut self, position: WaitPosition, kind: &Kind) -> Option<Waiter<G>> {
        let queue = self.kinds.get_mut(kind)?;
        let waiter = queue.remove(&position);
        if queue.is_empty() {
            self.kinds.remove(kind);
        }
        waiter
    }
}
