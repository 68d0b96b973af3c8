//! The slots of a service that each trainer may use, over all nodes.
//!
//! Load pattern: the jobs of different trainers are owned by different nodes. Each node orders only
//! its own samples, and takes every slot that it sees free, so that the trainer with the most
//! samples gets most slots, whatever its weight. So the leader divides the slots of each service
//! that is short of them: weighted max-min, by the demand that the owners report.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelValue;
use serde::{Deserialize, Serialize};

use super::Trainer;
use crate::{Moment, Name};

/// How long shares apply after the leader computed them: three polls of the demand. A leader that
/// is gone is replaced within that time, and a step has ended or changed by then.
pub const MAX_SHARE_AGE: Duration = Duration::from_secs(3);
/// Slots are short if samples wait for them and at most one in this many is free. Slots are free
/// for some milliseconds between two samples even if thousands wait.
const FREE_SLOTS_DIVISOR: u64 = 10;
/// The largest number of samples of a trainer that is believed. A step has hundreds.
const MAX_SAMPLES: u32 = 1_000_000;

/// What a trainer needs at one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrainerDemand {
    /// The trainer.
    pub trainer: Trainer,
    /// Its priority; 0 is highest.
    pub priority: u8,
    /// The number of its samples that wait for a slot.
    pub waiting: u32,
    /// The number of slots that it holds.
    pub running: u32,
}

impl TrainerDemand {
    /// Whether its figures are possible.
    pub fn is_valid(&self) -> bool {
        self.waiting <= MAX_SAMPLES && self.running <= MAX_SAMPLES
    }

    fn samples(&self) -> f64 {
        f64::from(self.waiting) + f64::from(self.running)
    }
}

/// The slots of all replicas of a service that serve the same models.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotPool {
    /// The models, in order of their names.
    pub models: Vec<Name>,
    /// The number of slots.
    pub slots: u32,
}

/// The number of slots that a trainer may use at one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The trainer.
    pub trainer: Trainer,
    /// The number of slots.
    pub slots: u32,
}

/// The shares that the leader sends to one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareOrder {
    /// The fencing token of the leader's term.
    pub fence: u64,
    /// The number of the order in that term.
    pub sequence: u64,
    /// The time since the shares were computed.
    pub age: Duration,
    /// The shares. A trainer without one may use any slot.
    pub shares: Vec<Share>,
    /// The services that several trainers use, on whichever nodes.
    pub contended: Vec<Name>,
}

/// The result of [`compute_shares`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ComputedShares {
    /// The shares by node.
    pub by_node: BTreeMap<Name, Vec<Share>>,
    /// The services that several trainers use.
    pub contended: Vec<Name>,
    /// The services of which some replicas are short of slots.
    pub short: Vec<Name>,
}

/// A trainer while its share is computed.
#[derive(Debug)]
struct Claim<'a> {
    trainer: &'a Trainer,
    weight: f64,
    /// Its demand at each node.
    nodes: Vec<(&'a Name, f64)>,
    demand: f64,
    waiting: u64,
    running: u64,
    given: f64,
    /// The highest number of slots per weight at which one of its pools is used up.
    level: f64,
    /// Whether one of its pools has slots left.
    unlimited: bool,
    /// Whether another trainer can use one of its pools.
    contested: bool,
}

/// Computes the shares of all trainers by the demand of each node. Returns none for a service with
/// a single trainer or enough slots.
pub fn compute_shares(
    demands: &[(Name, Vec<TrainerDemand>)],
    pools: impl Fn(&Name) -> Vec<SlotPool>,
) -> ComputedShares {
    let mut services: BTreeMap<&Name, Vec<(&Name, &TrainerDemand)>> = BTreeMap::new();
    for (node, trainers) in demands {
        for demand in trainers.iter().filter(|demand| demand.is_valid()) {
            services.entry(&demand.trainer.service).or_default().push((node, demand));
        }
    }
    let mut computed = ComputedShares::default();
    for (service, demands) in services {
        let mut claims = claims(&demands);
        if claims.len() < 2 {
            continue;
        }
        computed.contended.push(service.clone());
        let mut pools = pools(service);
        // A trainer gets slots first where few others can use them.
        pools.sort_by_key(|pool| pool.models.len());
        let by_model = claims_by_model(&claims);
        let served: Vec<Vec<usize>> = pools.iter().map(|p| served_claims(p, &by_model)).collect();
        let mut is_short = false;
        for group in connected_pools(&served, claims.len()) {
            if !is_group_short(&group, &pools, &served, &claims) {
                continue;
            }
            for index in &group {
                fill(pools[*index].slots, &served[*index], &mut claims);
            }
            is_short = true;
        }
        if is_short {
            computed.short.push(service.clone());
        }
        for claim in claims.iter().filter(|claim| claim.contested && !claim.unlimited) {
            // One that needs less now may use as much as the others once it needs more.
            let slots = claim.given.max(claim.level * claim.weight);
            for (node, demand) in &claim.nodes {
                let part = (slots * demand / claim.demand).round().max(1.0) as u32;
                let share = Share { trainer: claim.trainer.clone(), slots: part };
                computed.by_node.entry((*node).clone()).or_default().push(share);
            }
        }
    }
    computed
}

/// Returns the indexes of the claims by model.
fn claims_by_model<'a>(claims: &[Claim<'a>]) -> HashMap<Option<&'a Name>, Vec<usize>> {
    let mut by_model: HashMap<Option<&Name>, Vec<usize>> = HashMap::new();
    for (index, claim) in claims.iter().enumerate() {
        by_model.entry(claim.trainer.model.as_ref()).or_default().push(index);
    }
    by_model
}

/// Returns the indexes of the claims that a pool serves.
fn served_claims(pool: &SlotPool, by_model: &HashMap<Option<&Name>, Vec<usize>>) -> Vec<usize> {
    let models = pool.models.iter().map(Some).chain([None]);
    models.filter_map(|model| by_model.get(&model)).flatten().copied().collect()
}

/// Returns the indexes of the pools in groups. The pools of different groups serve no claim in
/// common, so that one group may be short of slots while another has some left.
fn connected_pools(served: &[Vec<usize>], claims: usize) -> Vec<Vec<usize>> {
    // The group of each claim, and by which group a group was taken in.
    let mut group_of: Vec<Option<usize>> = vec![None; claims];
    let mut taken_by: Vec<usize> = (0..served.len()).collect();
    let root = |taken_by: &[usize], mut group: usize| {
        while taken_by[group] != group {
            group = taken_by[group];
        }
        group
    };
    for (pool, claims) in served.iter().enumerate() {
        for claim in claims {
            let other = root(&taken_by, group_of[*claim].unwrap_or(pool));
            taken_by[other] = pool;
            group_of[*claim] = Some(pool);
        }
    }
    let mut groups: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
    for pool in 0..served.len() {
        groups.entry(root(&taken_by, pool)).or_default().push(pool);
    }
    groups.into_values().collect()
}

/// Whether samples of a group of pools wait and few of its slots are free.
fn is_group_short(
    group: &[usize],
    pools: &[SlotPool],
    served: &[Vec<usize>],
    claims: &[Claim<'_>],
) -> bool {
    let slots: u64 = group.iter().map(|pool| u64::from(pools[*pool].slots)).sum();
    let members: BTreeSet<usize> = group.iter().flat_map(|pool| &served[*pool]).copied().collect();
    let running: u64 = members.iter().map(|claim| claims[*claim].running).sum();
    let waiting = members.iter().any(|claim| claims[*claim].waiting > 0);
    waiting && slots.saturating_sub(running) <= slots / FREE_SLOTS_DIVISOR
}

/// Adds up the demand of each trainer.
fn claims<'a>(demands: &[(&'a Name, &'a TrainerDemand)]) -> Vec<Claim<'a>> {
    let mut claims: BTreeMap<&Trainer, Claim<'a>> = BTreeMap::new();
    for (node, demand) in demands.iter().filter(|(_, demand)| demand.samples() > 0.0) {
        let claim = claims.entry(&demand.trainer).or_insert_with(|| Claim {
            trainer: &demand.trainer,
            weight: 0.0,
            nodes: Vec::new(),
            demand: 0.0,
            waiting: 0,
            running: 0,
            given: 0.0,
            level: 0.0,
            unlimited: false,
            contested: false,
        });
        claim.weight = claim.weight.max(f64::from(Trainer::weight(demand.priority)));
        claim.nodes.push((node, demand.samples()));
        claim.demand += demand.samples();
        claim.waiting += u64::from(demand.waiting);
        claim.running += u64::from(demand.running);
    }
    claims.into_values().collect()
}

/// Gives the slots of a pool to the trainers that it serves, so that those that need more have as
/// many slots per weight as each other.
fn fill(slots: u32, served: &[usize], claims: &mut [Claim<'_>]) {
    // At which slots per weight each trainer begins and ceases to get slots.
    let mut events: Vec<(f64, f64)> = Vec::with_capacity(2 * served.len());
    let needing = served.iter().map(|index| &claims[*index]).filter(|c| c.demand > c.given);
    for claim in needing {
        events.push((claim.given / claim.weight, claim.weight));
        events.push((claim.demand / claim.weight, -claim.weight));
    }
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (mut level, mut rate, mut left) = (0.0, 0.0, f64::from(slots));
    for (at, change) in events {
        let needed = rate * (at - level);
        if needed > left {
            break;
        }
        left -= needed;
        level = at;
        rate += change;
    }
    // Beyond rounding errors, a rate is left over only if the slots did not suffice.
    let used_up = rate > 0.5;
    if used_up {
        level += left / rate;
    }
    for index in served {
        let claim = &mut claims[*index];
        claim.contested |= served.len() > 1;
        claim.unlimited |= !used_up;
        claim.level = claim.level.max(level);
        claim.given = claim.given.max(claim.demand.min(level * claim.weight));
    }
}

/// What became of an order of shares. The names of the variants appear in log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum ShareOutcome {
    /// It applies from now on.
    Accepted,
    /// An order of a later term was accepted before.
    OldTerm,
    /// A later order of the same term was accepted before.
    OldSequence,
    /// It was computed too long ago.
    TooOld,
}

/// The shares that apply at one node.
#[derive(Debug, Clone, Default)]
pub struct ShareView {
    /// Fencing token and sequence number of the last accepted order.
    last: Option<(u64, u64)>,
    /// Until when it applies.
    expires_at: Moment,
    shares: HashMap<Trainer, u32>,
    contended: Vec<Name>,
}

impl ShareView {
    /// Accepts an order unless it is older than the last one or too old.
    pub fn accept(&mut self, order: ShareOrder, now: Moment) -> ShareOutcome {
        if let Some((fence, sequence)) = self.last {
            if order.fence < fence {
                return ShareOutcome::OldTerm;
            }
            if order.fence == fence && order.sequence <= sequence {
                return ShareOutcome::OldSequence;
            }
        }
        let Some(left) = MAX_SHARE_AGE.checked_sub(order.age).filter(|left| !left.is_zero()) else {
            return ShareOutcome::TooOld;
        };
        self.last = Some((order.fence, order.sequence));
        self.expires_at = now + left;
        let shares = order.shares.into_iter();
        self.shares = shares.map(|share| (share.trainer, share.slots.max(1))).collect();
        self.contended = order.contended;
        ShareOutcome::Accepted
    }

    /// Drops the shares if they are too old by now. True if there were any.
    pub fn expire(&mut self, now: Moment) -> bool {
        if now < self.expires_at {
            return false;
        }
        let had = !self.shares.is_empty() || !self.contended.is_empty();
        self.shares.clear();
        self.contended.clear();
        had
    }

    /// Returns the number of slots that a trainer may use; none for any number.
    pub fn share(&self, trainer: &Trainer) -> Option<u32> {
        self.shares.get(trainer).copied()
    }

    /// Returns the services that several trainers use.
    pub fn contended(&self) -> &[Name] {
        &self.contended
    }
}
