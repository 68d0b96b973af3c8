//! Who waits for a place at a replica, and who gets the next one.
//!
//! Load pattern: the texts of a step wait before replicas that get one text at a time until they
//! have told their load, so that each answer's head opens a place at its replica. Going through
//! all who wait at each head costs heads times texts, thousands of each; looking only now and
//! then leaves every place empty for half of the time between two looks. So texts wait in a
//! queue for each kind of place, and a head offers its own replica to the first of the queues
//! that it serves: that costs as much before thousands of replicas as before ten.

use std::collections::BTreeMap;

use super::{AttemptRequest, Fleet};
use crate::edge::replica::Target;
use crate::{Moment, Name};

/// The order in which samples get places: rank of the route, age of the job, index.
pub type WaitPosition = (u8, u64, u64);

/// A service, and the model that is asked for there.
type Kind = (Name, Option<Name>);

/// What a waiting sample asks for.
#[derive(Debug, Clone)]
pub struct SlotRequest {
    /// The service.
    pub service: Name,
    /// The model; none where any replica will do.
    pub model: Option<Name>,
    /// The oldest version of the model that will do.
    pub min_version: u64,
    /// Replicas that failed it.
    pub avoid: Vec<Name>,
}

impl SlotRequest {
    fn kind(&self) -> Kind {
        (self.service.clone(), self.model.clone())
    }

    fn wish(&self) -> AttemptRequest<'_> {
        AttemptRequest {
            service: &self.service,
            weights: self.model.as_deref().map(|model| (model, self.min_version)),
            avoid: &self.avoid,
            allow_full: false,
        }
    }
}

#[derive(Debug)]
struct Waiter<G> {
    want: SlotRequest,
    grant: G,
}

/// Those who wait, each with what it is told by.
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
    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.kinds.is_empty()
    }

    /// Somebody begins to wait.
    pub fn add(&mut self, turn: WaitPosition, want: SlotRequest, grant: G) {
        self.kinds.entry(want.kind()).or_default().insert(turn, Waiter { want, grant });
    }

    /// Somebody waits no more.
    pub fn remove(&mut self, turn: WaitPosition, service: &Name, model: &Option<Name>) {
        drop(self.take(turn, &(service.clone(), model.clone())));
    }

    /// Gives all free places, in turn. Each was begun by [`Fleet::start`].
    pub fn assign_all(&mut self, fleet: &mut Fleet, now: Moment) -> Vec<(G, Target)> {
        self.give(fleet, now, |_| true, |fleet, want| fleet.choose(&want.wish(), now))
    }

    /// Gives the places of one replica that are free, in turn. Each was begun by
    /// [`Fleet::start`].
    pub fn assign_at(&mut self, id: &str, fleet: &mut Fleet, now: Moment) -> Vec<(G, Target)> {
        let Some(service) = fleet.get(id).map(|listed| listed.service.clone()) else {
            return Vec::new();
        };
        let served = |kind: &Kind| kind.0 == service;
        self.give(fleet, now, served, |fleet, want| fleet.offer(id, &want.wish(), now))
    }

    /// Gives places to the first of each queue until there is none for it.
    fn give(
        &mut self,
        fleet: &mut Fleet,
        now: Moment,
        served: impl Fn(&Kind) -> bool,
        choose: impl Fn(&Fleet, &SlotRequest) -> Option<Target>,
    ) -> Vec<(G, Target)> {
        let mut given = Vec::new();
        let mut open: Vec<Kind> = self.kinds.keys().filter(|kind| served(kind)).cloned().collect();
        while let Some((turn, place)) = self.first(&open) {
            let kind = &open[place];
            let chosen = self.kinds[kind].get(&turn).and_then(|w| choose(fleet, &w.want));
            match chosen.and_then(|target| Some((self.take(turn, kind)?, target))) {
                Some((waiter, target)) => {
                    fleet.start_attempt(&target.id, now);
                    given.push((waiter.grant, target));
                }
                None => drop(open.swap_remove(place)),
            }
        }
        given
    }

    /// The first turn of some queues, and which queue it is in.
    fn first(&self, open: &[Kind]) -> Option<(WaitPosition, usize)> {
        let firsts = open.iter().enumerate().filter_map(|(place, kind)| {
            let (turn, _) = self.kinds.get(kind)?.first_key_value()?;
            Some((*turn, place))
        });
        firsts.min()
    }

    fn take(&mut self, turn: WaitPosition, kind: &Kind) -> Option<Waiter<G>> {
        let queue = self.kinds.get_mut(kind)?;
        let waiter = queue.remove(&turn);
        if queue.is_empty() {
            self.kinds.remove(kind);
        }
        waiter
    }
}
