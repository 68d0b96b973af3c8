//! The table of nodes: merges gossip, doubts what can't be reached, forgets what is gone.
//!
//! A node that can't be reached is doubted at its last known heartbeat, and the
//! doubt is passed on. Whoever knows a later heartbeat answers the doubt with
//! it; the node itself raises its own. Only a doubt that nothing answers makes
//! a node silent, so a node that is heard through others counts as alive.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{Rng, SeedableRng};

use super::{Beat, Gossip, Heard, News, NodeState, Standing};
use crate::{Moment, Name};

/// Most news in a message. At 95 bytes each this bounds a message to 1.2 KB.
const NEWS: usize = 8;
/// Most heartbeats in a message, at 13 bytes each; `members-bench` shows that the
/// oldest heartbeat at 380 nodes stays far below [`AGE`] with so many.
const BEATS: usize = 24;
/// Most unknown nodes that are asked for in a message.
const WANTED: usize = 8;
/// Most unknown nodes that are remembered.
const UNKNOWN: usize = 256;
/// Nodes in a page of the table, for a node that joins.
const PAGE: usize = 64;
/// How long a doubt may stand until the node counts as silent: news reach all of
/// 380 nodes in about 2 s, and the answer to the doubt needs as long again.
const DOUBT: Duration = Duration::from_secs(4);
/// A heartbeat that has not advanced for so long is doubted without a failed
/// contact. `members-bench`: the oldest of a living node is 14 s at 380 nodes and
/// 30 s at 1,024.
const AGE: Duration = Duration::from_secs(60);
/// A gap between two rounds after which this node was frozen, and can't judge others.
const FROZEN: Duration = Duration::from_secs(2);
/// How long a silent node is remembered: regions lose each other for an hour,
/// and have to find each other again after it.
const SILENT: Duration = Duration::from_secs(2 * 3600);
/// How long a stopped node is remembered, so that old news do not bring it back.
const STOPPED: Duration = Duration::from_secs(600);
/// One target in so many is a silent node, so that a partition heals.
const REVISIT: u32 = 8;

#[derive(Debug)]
struct Member<C> {
    news: News<C>,
    /// When its heartbeat last advanced here.
    advanced: Moment,
    doubted: Option<Moment>,
    /// In how many more messages its news go out.
    sends: u32,
}

/// The table of one node.
#[derive(Debug)]
pub struct Members<C> {
    own: News<C>,
    sends: u32,
    known: BTreeMap<Name, Member<C>>,
    names: HashMap<u32, Name>,
    unknown: BTreeSet<u32>,
    round: Moment,
    rng: SmallRng,
}

impl<C: Clone> Members<C> {
    /// A table that knows only its own node. The seed drives the random choices.
    pub fn new(own: News<C>, seed: u64) -> Self {
        Self {
            own,
            sends: 1,
            known: BTreeMap::new(),
            names: HashMap::new(),
            unknown: BTreeSet::new(),
            round: Moment::ZERO,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// This node's own news.
    pub fn own(&self) -> &News<C> {
        &self.own
    }

    /// This node moves on in its life. True if that is new and should be told at once.
    pub fn set_state(&mut self, state: NodeState) -> bool {
        let later = state > self.own.state;
        if later {
            self.own.state = state;
            self.sends = self.quota();
        }
        later
    }

    /// A bundle came into force at this node.
    pub fn set_bundle(&mut self, number: u64) {
        self.own.bundle = self.own.bundle.max(number);
    }

    /// A round begins: the own heartbeat advances, old ones are doubted.
    pub fn beat(&mut self, now: Moment) {
        self.own.beat += 1;
        let gap = now.saturating_sub(self.round);
        self.round = now;
        if gap > FROZEN {
            self.excuse(gap);
        }
        let quota = self.quota();
        for member in self.known.values_mut() {
            if now.saturating_sub(member.advanced) >= AGE {
                member.doubt(now, quota);
            }
        }
        self.forget(now);
    }

    /// This node failed to reach another. True if that is a new doubt.
    pub fn missed(&mut self, name: &str, now: Moment) -> bool {
        let quota = self.quota();
        self.known.get_mut(name).is_some_and(|m| m.doubt(now, quota))
    }

    /// Some nodes to talk to in this round: the one that was silent for longest,
    /// the rest at random.
    pub fn targets(&mut self, count: usize, now: Moment) -> Vec<Name> {
        let standing = |silent: bool| {
            move |(name, m): (&Name, &Member<C>)| {
                let fits = (m.standing(now) == Standing::Silent) == silent;
                (fits && m.news.state != NodeState::Gone).then(|| name.clone())
            }
        };
        let mut targets =
            self.known.iter().filter_map(standing(false)).choose_multiple(&mut self.rng, count);
        if let Some(stalest) = self.stalest()
            && !targets.contains(&stalest)
            && let Some(last) = targets.last_mut()
        {
            *last = stalest;
        }
        if self.rng.random_ratio(1, REVISIT) {
            let silent: Vec<Name> = self.known.iter().filter_map(standing(true)).collect();
            targets.extend(silent.choose(&mut self.rng).cloned());
        }
        targets
    }

    /// The message of a round, with what the other side wants to know.
    pub fn message(&mut self, wanted: &[u32]) -> Gossip<C> {
        let mut news = self.answers(wanted);
        if self.sends > 0 {
            self.sends -= 1;
            news.push(self.own.clone());
        }
        let mut fresh: Vec<&mut Member<C>> =
            self.known.values_mut().filter(|m| m.sends > 0).collect();
        fresh.sort_by_key(|m| std::cmp::Reverse(m.sends));
        for member in fresh.into_iter().take(NEWS) {
            member.sends -= 1;
            news.push(member.news.clone());
        }
        let beats = self.beats();
        let wanted = self.unknown.iter().copied().choose_multiple(&mut self.rng, WANTED);
        Gossip { news, beats, wanted }
    }

    /// Takes in a message.
    pub fn receive(&mut self, gossip: Gossip<C>, now: Moment) -> Heard {
        let mut heard = Heard::default();
        for news in gossip.news {
            heard.changed |= self.learn(news, now);
        }
        if let Some(first) = gossip.beats.first() {
            heard.bundle = first.bundle;
            heard.sender = Some(first.id);
        }
        for beat in gossip.beats {
            heard.changed |= self.hear(beat, now);
        }
        heard
    }

    /// Takes in news of one node. True if a node came, went or changed its state.
    pub fn learn(&mut self, news: News<C>, now: Moment) -> bool {
        if news.name == self.own.name {
            self.answer(&news);
            return false;
        }
        let quota = self.quota();
        self.unknown.remove(&news.id());
        let replaced = match self.known.get_mut(&news.name) {
            Some(known) if known.news.incarnation == news.incarnation => {
                return known.merge(&news, now, quota);
            }
            Some(known) if known.news.incarnation > news.incarnation => {
                // The sender is behind: it is told what is known here.
                known.sends = known.sends.max(1);
                return false;
            }
            Some(known) => Some(known.news.id()),
            None => None,
        };
        if let Some(old) = replaced {
            self.names.remove(&old);
        }
        self.names.insert(news.id(), news.name.clone());
        let doubted = news.doubted.then_some(now);
        let name = news.name.clone();
        self.known.insert(name, Member { news, advanced: now, doubted, sends: quota });
        true
    }

    /// Takes in a node of a list that the others have as well: it is not passed on.
    pub fn load(&mut self, news: News<C>, now: Moment) {
        let name = news.name.clone();
        if self.learn(news, now)
            && let Some(member) = self.known.get_mut(&name)
        {
            member.sends = 0;
        }
    }

    /// A page of the table after a name, for a node that joins; the own news come first.
    pub fn page(&self, after: Option<&Name>) -> Vec<News<C>> {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = after.map_or(Unbounded, Excluded);
        let own = after.is_none().then(|| self.own.clone());
        let rest = self.known.range::<Name, _>((from, Unbounded)).map(|(_, m)| m.news.clone());
        own.into_iter().chain(rest).take(PAGE).collect()
    }

    /// Every other node, with its standing.
    pub fn view(&self, now: Moment) -> impl Iterator<Item = (&News<C>, Standing)> {
        self.known.values().map(move |m| (&m.news, m.standing(now)))
    }

    /// Other nodes that are not known to have stopped or failed.
    pub fn alive(&self, now: Moment) -> impl Iterator<Item = &News<C>> {
        let there = |(news, standing): &(&News<C>, Standing)| {
            *standing != Standing::Silent && news.state != NodeState::Gone
        };
        self.view(now).filter(there).map(|(news, _)| news)
    }

    /// The news of a node.
    pub fn get(&self, name: &str) -> Option<&News<C>> {
        self.known.get(name).map(|m| &m.news)
    }

    /// The news of the node with this short name.
    pub fn find(&self, id: u32) -> Option<&News<C>> {
        self.names.get(&id).and_then(|name| self.get(name))
    }

    /// The longest time that a living node's heartbeat has not advanced here.
    pub fn oldest(&self, now: Moment) -> Duration {
        let living = self.known.values().filter(|m| m.news.state != NodeState::Gone);
        living.map(|m| now.saturating_sub(m.advanced)).max().unwrap_or_default()
    }

    /// The node whose heartbeat has not advanced here for the longest time.
    fn stalest(&self) -> Option<Name> {
        let living = self.known.iter().filter(|(_, m)| m.lives());
        living.min_by_key(|(_, m)| m.advanced).map(|(name, _)| name.clone())
    }

    fn answers(&self, wanted: &[u32]) -> Vec<News<C>> {
        let own = self.own.id();
        let one = |id: &u32| {
            if *id == own { Some(self.own.clone()) } else { self.find(*id).cloned() }
        };
        wanted.iter().take(WANTED).filter_map(one).collect()
    }

    fn beats(&mut self) -> Vec<Beat> {
        let living = self.known.values().filter(|m| m.lives());
        let some = living.choose_multiple(&mut self.rng, BEATS);
        let own = [self.own.short()].into_iter();
        own.chain(some.into_iter().map(|m| m.news.short())).collect()
    }

    /// Takes in a heartbeat. True if it says that a node changed its state.
    fn hear(&mut self, beat: Beat, now: Moment) -> bool {
        let quota = self.quota();
        if beat.id == self.own.id() {
            return false;
        }
        match self.names.get(&beat.id).and_then(|name| self.known.get_mut(name)) {
            Some(member) => {
                member.advance(beat.beat, beat.bundle, now, quota);
                return member.move_on(beat.state, quota);
            }
            None if self.unknown.len() < UNKNOWN => {
                self.unknown.insert(beat.id);
            }
            None => {}
        }
        false
    }

    /// News of this node itself: a doubt is answered, an older start outbid.
    fn answer(&mut self, news: &News<C>) {
        if news.incarnation > self.own.incarnation {
            // The clock went back between two starts.
            self.own.incarnation = news.incarnation + 1;
            self.sends = self.quota();
        } else if news.incarnation < self.own.incarnation {
            self.sends = self.sends.max(1);
        } else if news.doubted && news.beat >= self.own.beat {
            self.own.beat = news.beat + 1;
            self.sends = self.quota();
        }
    }

    /// In how many messages news go out: enough to reach all with some to spare.
    fn quota(&self) -> u32 {
        let count = self.known.len() as u32 + 2;
        3 * (u32::BITS - count.leading_zeros())
    }

    /// This node was frozen: the others get the time that it did not listen.
    fn excuse(&mut self, gap: Duration) {
        for member in self.known.values_mut() {
            member.advanced += gap;
            member.doubted = member.doubted.map(|since| since + gap);
        }
    }

    fn forget(&mut self, now: Moment) {
        let kept = |m: &Member<C>| {
            let limit = if m.news.state == NodeState::Gone { STOPPED } else { SILENT };
            now.saturating_sub(m.advanced) < limit
        };
        self.known.retain(|_, m| kept(m));
        let known = &self.known;
        self.names.retain(|_, name| known.contains_key(name));
    }
}

impl<C> Member<C> {
    fn standing(&self, now: Moment) -> Standing {
        match self.doubted {
            None => Standing::Well,
            Some(since) if now.saturating_sub(since) < DOUBT => Standing::Doubted,
            Some(_) => Standing::Silent,
        }
    }

    fn lives(&self) -> bool {
        self.news.state != NodeState::Gone && self.doubted.is_none()
    }

    /// True if the doubt is new.
    fn doubt(&mut self, now: Moment, quota: u32) -> bool {
        if self.doubted.is_some() || self.news.state == NodeState::Gone {
            return false;
        }
        self.doubted = Some(now);
        self.news.doubted = true;
        self.sends = quota;
        true
    }

    /// A heartbeat was heard; a later one answers a doubt.
    fn advance(&mut self, beat: u32, bundle: u64, now: Moment, quota: u32) {
        if beat <= self.news.beat {
            return;
        }
        self.news.beat = beat;
        self.news.bundle = self.news.bundle.max(bundle);
        self.advanced = now;
        if self.doubted.take().is_some() {
            self.news.doubted = false;
            self.sends = quota;
        }
    }

    /// It says so of itself. True if that is new.
    fn move_on(&mut self, state: NodeState, quota: u32) -> bool {
        let moved = state > self.news.state;
        if moved {
            self.news.state = state;
            self.sends = quota;
        }
        moved
    }

    /// News of the same incarnation. True if its state changed.
    fn merge(&mut self, news: &News<C>, now: Moment, quota: u32) -> bool {
        let moved = self.move_on(news.state, quota);
        let behind = news.beat < self.news.beat;
        self.advance(news.beat, news.bundle, now, quota);
        if news.doubted && behind {
            // What is known here answers the doubt.
            self.sends = self.sends.max(quota / 3);
        } else if news.doubted {
            self.doubt(now, quota);
        }
        moved
    }
}
