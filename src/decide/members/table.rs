//! The table of nodes: merges gossip, suspects nodes that can't be reached, and forgets nodes
//! that are gone.
//!
//! A node that can't be reached is suspected at its last known heartbeat, and the
//! suspicion is passed on. Any node that knows a later heartbeat refutes the suspicion with
//! it; the suspected node itself raises its own heartbeat. Only a suspicion that nothing
//! refutes makes a node failed, so a node whose heartbeat arrives through others counts as
//! alive.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{Rng, SeedableRng};

use super::{Gossip, GossipEffect, Heartbeat, Liveness, MemberRecord, NodeState};
use crate::{Moment, Name};

/// Maximum number of records in a message. At 95 bytes each this bounds a message to 1.2 KB.
const MAX_RECORDS: usize = 8;
/// Maximum number of heartbeats in a message, at 13 bytes each. With this number, the
/// oldest heartbeat at 380 nodes stays far below [`MAX_HEARTBEAT_AGE`].
const MAX_HEARTBEATS: usize = 24;
/// Maximum number of unknown nodes whose records are requested in a message.
const MAX_WANTED: usize = 8;
/// Maximum number of unknown nodes that are remembered.
const MAX_UNKNOWN: usize = 256;
/// Number of records in a page of the table, which a joining node requests.
const PAGE_RECORDS: usize = 64;
/// How long a suspicion may stand until the node counts as failed: a record reaches all of
/// 380 nodes in about 2 s, and the refutation needs as long again.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);
/// A node whose heartbeat has not advanced for this long is suspected without a failed
/// contact. The oldest heartbeat of a live node is 14 s at 380 nodes and
/// 30 s at 1,024.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_secs(60);
/// A longer gap between two rounds means that this node was frozen and can't judge others.
const MAX_ROUND_GAP: Duration = Duration::from_secs(2);
/// How long a failed node is remembered: regions lose contact with each other for an hour,
/// and have to find each other again afterwards.
const FAILED_RETENTION: Duration = Duration::from_secs(2 * 3600);
/// How long a stopped node is remembered, so that old records do not bring it back.
const STOPPED_RETENTION: Duration = Duration::from_secs(600);
/// In one of this many rounds, a failed node is a target too, so that a partition heals.
const FAILED_TARGET_PERIOD: u32 = 8;

#[derive(Debug)]
struct Member<C> {
    record: MemberRecord<C>,
    /// When its heartbeat last advanced here.
    advanced_at: Moment,
    /// Since when it is suspected.
    suspected_since: Option<Moment>,
    /// Number of further messages in which its record is sent.
    sends: u32,
}

/// The table that one node keeps of all nodes.
#[derive(Debug)]
pub struct MemberTable<C> {
    own: MemberRecord<C>,
    /// Number of further messages in which the own record is sent.
    sends: u32,
    known: BTreeMap<Name, Member<C>>,
    /// The known nodes by short id.
    names: HashMap<u32, Name>,
    /// Short ids of nodes without a record here.
    unknown: BTreeSet<u32>,
    /// When the last round began.
    round_began: Moment,
    rng: SmallRng,
}

impl<C: Clone> MemberTable<C> {
    /// A table that knows only its own node. The seed determines the random choices.
    pub fn new(own: MemberRecord<C>, seed: u64) -> Self {
        Self {
            own,
            sends: 1,
            known: BTreeMap::new(),
            names: HashMap::new(),
            unknown: BTreeSet::new(),
            round_began: Moment::ZERO,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns this node's own record.
    pub fn own(&self) -> &MemberRecord<C> {
        &self.own
    }

    /// Advances this node's lifecycle state; an earlier state is ignored. Returns true if the
    /// state changed and should be sent at once.
    pub fn set_state(&mut self, state: NodeState) -> bool {
        let later = state > self.own.state;
        if later {
            self.own.state = state;
            self.sends = self.send_quota();
        }
        later
    }

    /// Records that a bundle came into force at this node.
    pub fn set_bundle(&mut self, number: u64) {
        self.own.bundle = self.own.bundle.max(number);
    }

    /// Begins a round: advances this node's heartbeat, suspects nodes with an old one and
    /// forgets nodes that are gone.
    pub fn begin_round(&mut self, now: Moment) {
        self.own.heartbeat += 1;
        let gap = now.saturating_sub(self.round_began);
        self.round_began = now;
        if gap > MAX_ROUND_GAP {
            self.extend_time_limits(gap);
        }
        let quota = self.send_quota();
        for member in self.known.values_mut() {
            if now.saturating_sub(member.advanced_at) >= MAX_HEARTBEAT_AGE {
                member.suspect(now, quota);
            }
        }
        self.forget(now);
    }

    /// Records that this node failed to reach another. Returns true if the other is newly
    /// suspected.
    pub fn report_unreachable(&mut self, name: &str, now: Moment) -> bool {
        let quota = self.send_quota();
        self.known.get_mut(name).is_some_and(|m| m.suspect(now, quota))
    }

    /// Chooses the nodes to gossip with in this round: the one whose heartbeat is oldest, the
    /// others at random, and sometimes a failed node in addition to `count`.
    pub fn gossip_targets(&mut self, count: usize, now: Moment) -> Vec<Name> {
        let with_failed = |failed: bool| {
            move |(name, m): (&Name, &Member<C>)| {
                let fits = (m.liveness(now) == Liveness::Failed) == failed;
                (fits && m.record.state != NodeState::Gone).then(|| name.clone())
            }
        };
        let mut targets =
            self.known.iter().filter_map(with_failed(false)).choose_multiple(&mut self.rng, count);
        if let Some(stalest) = self.stalest()
            && !targets.contains(&stalest)
            && let Some(last) = targets.last_mut()
        {
            *last = stalest;
        }
        if self.rng.random_ratio(1, FAILED_TARGET_PERIOD) {
            let failed: Vec<Name> = self.known.iter().filter_map(with_failed(true)).collect();
            targets.extend(failed.choose(&mut self.rng).cloned());
        }
        targets
    }

    /// Returns the message of a round, with the records that the receiver asked for.
    pub fn next_message(&mut self, wanted: &[u32]) -> Gossip<C> {
        let mut records = self.requested_records(wanted);
        if self.sends > 0 {
            self.sends -= 1;
            records.push(self.own.clone());
        }
        let mut fresh: Vec<&mut Member<C>> =
            self.known.values_mut().filter(|m| m.sends > 0).collect();
        fresh.sort_by_key(|m| std::cmp::Reverse(m.sends));
        for member in fresh.into_iter().take(MAX_RECORDS) {
            member.sends -= 1;
            records.push(member.record.clone());
        }
        let heartbeats = self.heartbeats();
        let wanted = self.unknown.iter().copied().choose_multiple(&mut self.rng, MAX_WANTED);
        Gossip { records, heartbeats, wanted }
    }

    /// Merges a received message.
    pub fn receive(&mut self, gossip: Gossip<C>, now: Moment) -> GossipEffect {
        let mut effect = GossipEffect::default();
        for record in gossip.records {
            effect.changed |= self.merge_record(record, now);
        }
        if let Some(first) = gossip.heartbeats.first() {
            effect.bundle = first.bundle;
            effect.sender = Some(first.id);
        }
        for heartbeat in gossip.heartbeats {
            effect.changed |= self.merge_heartbeat(heartbeat, now);
        }
        effect
    }

    /// Merges the record of one node. Returns true if a node appeared, disappeared or changed
    /// its state.
    pub fn merge_record(&mut self, record: MemberRecord<C>, now: Moment) -> bool {
        if record.name == self.own.name {
            self.refute(&record);
            return false;
        }
        let quota = self.send_quota();
        self.unknown.remove(&record.id());
        let replaced = match self.known.get_mut(&record.name) {
            Some(known) if known.record.incarnation == record.incarnation => {
                return known.merge(&record, now, quota);
            }
            Some(known) if known.record.incarnation > record.incarnation => {
                // The sender is behind: the newer record is sent once more.
                known.sends = known.sends.max(1);
                return false;
            }
            Some(known) => Some(known.record.id()),
            None => None,
        };
        if let Some(old) = replaced {
            self.names.remove(&old);
        }
        self.names.insert(record.id(), record.name.clone());
        let suspected_since = record.suspected.then_some(now);
        let name = record.name.clone();
        self.known.insert(name, Member { record, advanced_at: now, suspected_since, sends: quota });
        true
    }

    /// Merges a record of a list that the other nodes have as well: it is not passed on.
    pub fn load_record(&mut self, record: MemberRecord<C>, now: Moment) {
        let name = record.name.clone();
        if self.merge_record(record, now)
            && let Some(member) = self.known.get_mut(&name)
        {
            member.sends = 0;
        }
    }

    /// Returns the page of the table after a name, for a node that joins; the own record comes
    /// first.
    pub fn page(&self, after: Option<&Name>) -> Vec<MemberRecord<C>> {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = after.map_or(Unbounded, Excluded);
        let own = after.is_none().then(|| self.own.clone());
        let rest = self.known.range::<Name, _>((from, Unbounded)).map(|(_, m)| m.record.clone());
        own.into_iter().chain(rest).take(PAGE_RECORDS).collect()
    }

    /// Returns every other node with its liveness.
    pub fn view(&self, now: Moment) -> impl Iterator<Item = (&MemberRecord<C>, Liveness)> {
        self.known.values().map(move |m| (&m.record, m.liveness(now)))
    }

    /// Returns the other nodes that are not known to have stopped or failed.
    pub fn alive(&self, now: Moment) -> impl Iterator<Item = &MemberRecord<C>> {
        let is_alive = |(record, liveness): &(&MemberRecord<C>, Liveness)| {
            *liveness != Liveness::Failed && record.state != NodeState::Gone
        };
        self.view(now).filter(is_alive).map(|(record, _)| record)
    }

    /// Returns the record of a node.
    pub fn get(&self, name: &str) -> Option<&MemberRecord<C>> {
        self.known.get(name).map(|m| &m.record)
    }

    /// Returns the record of the node with this short id.
    pub fn find_by_id(&self, id: u32) -> Option<&MemberRecord<C>> {
        self.names.get(&id).and_then(|name| self.get(name))
    }

    /// Returns the longest time that the heartbeat of a node that has not stopped has not
    /// advanced here.
    pub fn max_heartbeat_age(&self, now: Moment) -> Duration {
        let not_stopped = self.known.values().filter(|m| m.record.state != NodeState::Gone);
        not_stopped.map(|m| now.saturating_sub(m.advanced_at)).max().unwrap_or_default()
    }

    /// Returns the live node whose heartbeat has not advanced here for the longest time.
    fn stalest(&self) -> Option<Name> {
        let alive = self.known.iter().filter(|(_, m)| m.is_alive());
        alive.min_by_key(|(_, m)| m.advanced_at).map(|(name, _)| name.clone())
    }

    fn requested_records(&self, wanted: &[u32]) -> Vec<MemberRecord<C>> {
        let own = self.own.id();
        let one = |id: &u32| {
            if *id == own { Some(self.own.clone()) } else { self.find_by_id(*id).cloned() }
        };
        wanted.iter().take(MAX_WANTED).filter_map(one).collect()
    }

    fn heartbeats(&mut self) -> Vec<Heartbeat> {
        let alive = self.known.values().filter(|m| m.is_alive());
        let some = alive.choose_multiple(&mut self.rng, MAX_HEARTBEATS);
        let own = [self.own.to_heartbeat()].into_iter();
        own.chain(some.into_iter().map(|m| m.record.to_heartbeat())).collect()
    }

    /// Merges a heartbeat. Returns true if the node's state changed.
    fn merge_heartbeat(&mut self, heartbeat: Heartbeat, now: Moment) -> bool {
        let quota = self.send_quota();
        if heartbeat.id == self.own.id() {
            return false;
        }
        match self.names.get(&heartbeat.id).and_then(|name| self.known.get_mut(name)) {
            Some(member) => {
                member.advance(heartbeat.heartbeat, heartbeat.bundle, now, quota);
                return member.advance_state(heartbeat.state, quota);
            }
            None if self.unknown.len() < MAX_UNKNOWN => {
                self.unknown.insert(heartbeat.id);
            }
            None => {}
        }
        false
    }

    /// Handles a record of this node itself: refutes a suspicion, and takes a higher
    /// incarnation than any seen.
    fn refute(&mut self, record: &MemberRecord<C>) {
        if record.incarnation > self.own.incarnation {
            // The clock went back between two starts.
            self.own.incarnation = record.incarnation + 1;
            self.sends = self.send_quota();
        } else if record.incarnation < self.own.incarnation {
            self.sends = self.sends.max(1);
        } else if record.suspected && record.heartbeat >= self.own.heartbeat {
            self.own.heartbeat = record.heartbeat + 1;
            self.sends = self.send_quota();
        }
    }

    /// Returns the number of messages in which a record is sent: enough to reach all nodes,
    /// with a margin.
    fn send_quota(&self) -> u32 {
        let count = self.known.len() as u32 + 2;
        3 * (u32::BITS - count.leading_zeros())
    }

    /// Extends all time limits by the time that this node was frozen and received nothing.
    fn extend_time_limits(&mut self, gap: Duration) {
        for member in self.known.values_mut() {
            member.advanced_at += gap;
            member.suspected_since = member.suspected_since.map(|since| since + gap);
        }
    }

    fn forget(&mut self, now: Moment) {
        let kept = |m: &Member<C>| {
            let stopped = m.record.state == NodeState::Gone;
            let retention = if stopped { STOPPED_RETENTION } else { FAILED_RETENTION };
            now.saturating_sub(m.advanced_at) < retention
        };
        self.known.retain(|_, m| kept(m));
        let known = &self.known;
        self.names.retain(|_, name| known.contains_key(name));
    }
}

impl<C> Member<C> {
    fn liveness(&self, now: Moment) -> Liveness {
        match self.suspected_since {
            None => Liveness::Alive,
            Some(since) if now.saturating_sub(since) < SUSPICION_TIMEOUT => Liveness::Suspected,
            Some(_) => Liveness::Failed,
        }
    }

    fn is_alive(&self) -> bool {
        self.record.state != NodeState::Gone && self.suspected_since.is_none()
    }

    /// Suspects the node, unless it has stopped. Returns true if the suspicion is new.
    fn suspect(&mut self, now: Moment, quota: u32) -> bool {
        if self.suspected_since.is_some() || self.record.state == NodeState::Gone {
            return false;
        }
        self.suspected_since = Some(now);
        self.record.suspected = true;
        self.sends = quota;
        true
    }

    /// Merges a heartbeat; a later one than known clears a suspicion.
    fn advance(&mut self, heartbeat: u32, bundle: u64, now: Moment, quota: u32) {
        if heartbeat <= self.record.heartbeat {
            return;
        }
        self.record.heartbeat = heartbeat;
        self.record.bundle = self.record.bundle.max(bundle);
        self.advanced_at = now;
        if self.suspected_since.take().is_some() {
            self.record.suspected = false;
            self.sends = quota;
        }
    }

    /// Merges the state that the node reports about itself. Returns true if it is new.
    fn advance_state(&mut self, state: NodeState, quota: u32) -> bool {
        let advanced = state > self.record.state;
        if advanced {
            self.record.state = state;
            self.sends = quota;
        }
        advanced
    }

    /// Merges a record of the same incarnation. Returns true if the state changed.
    fn merge(&mut self, record: &MemberRecord<C>, now: Moment, quota: u32) -> bool {
        let advanced = self.advance_state(record.state, quota);
        let behind = record.heartbeat < self.record.heartbeat;
        self.advance(record.heartbeat, record.bundle, now, quota);
        if record.suspected && behind {
            // The later heartbeat that is known here refutes the suspicion.
            self.sends = self.sends.max(quota / 3);
        } else if record.suspected {
            self.suspect(now, quota);
        }
        advanced
    }
}
