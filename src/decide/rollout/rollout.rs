//! The rollout of one service as one node sees it.

use std::collections::HashMap;
use std::time::Duration;

use super::{Sight, Stage, StoreShare, Wanted};
use crate::{Moment, Name};

/// A chain in which nothing has changed for so long goes on past the engine that
/// holds it up. Over the longest swap that keeps to the planned 24 s for all
/// replicas, at three engines a chain: 8 s.
const PATIENCE: Duration = Duration::from_secs(10);
/// An order is given again if nothing came of it for so long: past the lag of
/// the load reports and an order's own way.
const RESEND: Duration = Duration::from_secs(1);
/// Reports lag: what they say right after a change of what is wanted is old. An
/// engine may still be swapping to the last version without saying so.
const SETTLE: Duration = Duration::from_millis(500);
/// Time between two looks at an engine that is not where it should be, or that
/// may take old orders.
const CLOSE: Duration = Duration::from_millis(250);
/// Time between two looks at a settled engine that refuses old orders.
const CALM: Duration = Duration::from_secs(1);
/// Looks without an answer after which an engine counts as dead.
const DEAD: u32 = 3;
/// Longest time between two looks at an engine that does not answer.
const FAR: Duration = Duration::from_secs(2);

/// Why an order is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Cause {
    /// The engine is behind.
    Rollout,
    /// A swap failed partway.
    Repair,
    /// It had the wanted version and has another now: it took an old order, or it
    /// restarted.
    Correction,
}

/// Whether an engine is ordered now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// It is where it should be, or on its way.
    None,
    /// Another engine of its chain goes first, or the weight store does.
    Wait,
    /// Now.
    Order(Cause),
}

#[derive(Debug, Clone, Copy)]
struct Member {
    sight: Sight,
    stage: Stage,
    changed: Moment,
    looked: Moment,
    /// Looks without an answer, in a row.
    silent: u32,
    /// It was settled under the present generation.
    arrived: bool,
    /// Its chain goes on without it.
    passed: bool,
    ordered: Option<Moment>,
}

/// What a node knows of a service's engines and is doing about them.
#[derive(Debug, Clone)]
pub struct Rollout {
    wanted: Wanted,
    since: Moment,
    fenced: bool,
    members: HashMap<Name, Member>,
    share: StoreShare,
}

impl Rollout {
    /// A rollout of which nothing is known yet.
    pub fn new(wanted: Wanted, now: Moment) -> Self {
        Self {
            wanted,
            since: now,
            fenced: true,
            members: HashMap::new(),
            share: StoreShare::default(),
        }
    }

    /// The bundle says what is wanted, and whether the engines refuse old orders.
    pub fn want(&mut self, wanted: Wanted, fenced: bool, now: Moment) {
        self.fenced = fenced;
        if wanted.version != self.wanted.version {
            self.since = now;
            for member in self.members.values_mut() {
                member.stage = Stage::of(member.sight, wanted);
                member.changed = now;
                member.arrived = false;
                // What was dead before holds nothing up.
                member.passed = member.stage == Stage::Silent && member.silent >= DEAD;
                member.ordered = None;
            }
        }
        self.wanted = wanted;
    }

    /// The node's share of the weight store's rate.
    pub fn share(&mut self, rate: u32, owned: usize, total: usize, now: Moment) {
        self.share.set(rate, owned, total, now);
    }

    /// A look at an engine ended.
    pub fn see(&mut self, engine: &Name, sight: Sight, now: Moment) {
        let stage = Stage::of(sight, self.wanted);
        let member = self.members.entry(engine.clone()).or_insert(Member {
            sight,
            stage: Stage::Unknown,
            changed: now,
            looked: now,
            silent: 0,
            arrived: false,
            passed: false,
            ordered: None,
        });
        member.looked = now;
        member.sight = sight;
        member.silent = if stage == Stage::Silent { member.silent + 1 } else { 0 };
        member.arrived |= stage == Stage::Settled;
        if stage != member.stage {
            member.stage = stage;
            member.changed = now;
            member.passed = false;
        }
    }

    /// Forgets engines that left the list.
    pub fn retain(&mut self, engines: &[Name]) {
        self.members.retain(|name, _| engines.contains(name));
    }

    /// Whether it is time to look at an engine.
    pub fn due(&self, engine: &str, now: Moment) -> bool {
        let Some(member) = self.members.get(engine) else { return true };
        let pause = match member.stage {
            Stage::Settled if self.fenced => CALM,
            Stage::Silent => (CLOSE * 2_u32.saturating_pow(member.silent.min(8))).min(FAR),
            Stage::Settled | Stage::Unknown | Stage::Behind | Stage::Swapping | Stage::Failed => {
                CLOSE
            }
        };
        now.saturating_sub(member.looked) >= pause
    }

    /// Where an engine is.
    pub fn stage(&self, engine: &str) -> Stage {
        self.members.get(engine).map_or(Stage::Unknown, |m| m.stage)
    }

    /// What an engine last showed, and when.
    pub fn last(&self, engine: &str) -> Option<(Sight, Moment)> {
        self.members.get(engine).map(|m| (m.sight, m.looked))
    }

    /// What is wanted.
    pub fn wanted(&self) -> Wanted {
        self.wanted
    }

    /// Whether an engine that this node owns is ordered now; if so, the order
    /// counts as given. `chain` is the engine's chain, itself included.
    pub fn turn(&mut self, engine: &str, chain: &[Name], now: Moment) -> Turn {
        let Some(cause) = self.cause(engine, now) else { return Turn::None };
        // An engine whose weights are not whole serves nobody: ordering it takes no
        // capacity away. Any other waits for its chain.
        if cause != Cause::Repair && !self.first(engine, chain, now) {
            return Turn::Wait;
        }
        if !self.share.take(now) {
            return Turn::Wait;
        }
        if let Some(member) = self.members.get_mut(engine) {
            member.ordered = Some(now);
        }
        Turn::Order(cause)
    }

    fn cause(&self, engine: &str, now: Moment) -> Option<Cause> {
        let member = self.members.get(engine)?;
        if member.ordered.is_some_and(|at| now.saturating_sub(at) < RESEND) {
            return None;
        }
        match member.stage {
            Stage::Failed => Some(Cause::Repair),
            Stage::Behind if member.arrived => Some(Cause::Correction),
            Stage::Behind => Some(Cause::Rollout),
            Stage::Unknown | Stage::Silent | Stage::Swapping | Stage::Settled => None,
        }
    }

    /// Whether every engine of the chain that goes before this one has arrived or
    /// is passed, and none is swapping.
    fn first(&mut self, engine: &str, chain: &[Name], now: Moment) -> bool {
        if now.saturating_sub(self.since) < SETTLE && chain.len() > 1 {
            return false;
        }
        let mut before = true;
        let mut blocker = None;
        for name in chain {
            before &= &**name != engine;
            let member = self.members.get(name);
            let stage = member.map_or(Stage::Unknown, |m| m.stage);
            let passed = member.is_some_and(|m| m.passed);
            let blocks = match stage {
                Stage::Settled => false,
                Stage::Swapping => &**name != engine,
                Stage::Unknown | Stage::Silent | Stage::Behind | Stage::Failed => before,
            };
            if blocks && !passed {
                blocker.get_or_insert(name);
            }
        }
        let Some(blocker) = blocker else { return true };
        self.pass(blocker, chain, now);
        false
    }

    /// Lets a chain go on without an engine once nothing has moved for long.
    fn pass(&mut self, blocker: &Name, chain: &[Name], now: Moment) {
        let changed = chain.iter().filter_map(|e| self.members.get(e)).map(|m| m.changed).max();
        let moved = changed.unwrap_or(self.since).max(self.since);
        if now.saturating_sub(moved) < PATIENCE {
            return;
        }
        if let Some(member) = self.members.get_mut(blocker) {
            member.passed = true;
        }
    }
}
