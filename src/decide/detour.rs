//! Whether a node calls a service itself or through another node.
//!
//! Load pattern: the service turns some nodes away, or they are partitioned from it, while
//! others reach it. What such a node holds would stand still until its lease ends and others
//! take it: three seconds and more of a step. Where the service is away from everybody, asking
//! others would double every call for nothing, and every duty that tries again would make a
//! call of its own: one look at a time decides for all.

use std::time::Duration;

use crate::Moment;

/// Until a first look whether the own way is open again: one lost answer is no outage.
const FIRST: Duration = Duration::from_millis(300);
/// The longest time between two looks; each costs a call.
const LONGEST: Duration = Duration::from_millis(1_200);
/// How long nobody is asked after nobody could help: the service is away from all then. One
/// call then looks whether somebody can.
const ALONE: Duration = Duration::from_millis(500);
/// Between two looks of any nodes while the service is away from everybody: a step of a
/// trainer stands still for half of it more, and each look costs a call. Whoever finds the
/// service back tells the others.
const EACH: Duration = Duration::from_millis(60);
/// The least time between two looks of one node, where there are few.
const LEAST: Duration = Duration::from_millis(150);
/// The most, where there are many. Whoever finds the service back tells the others, and each
/// asks two of them every [`ALONE`]; only one that is cut off from all others waits this long.
/// With 2 s, 250 nodes made 125 looks a second.
const MOST: Duration = Duration::from_secs(8);

/// The time between two looks of one node, where so many nodes look. `draw` keeps them apart.
pub fn pace(nodes: usize, draw: u32) -> Duration {
    let even = (EACH * nodes as u32).clamp(LEAST, MOST);
    even.mul_f64(0.75 + 0.5 * part(draw))
}

/// A part of one.
fn part(draw: u32) -> f64 {
    f64::from(draw % 1_000) / 1_000.0
}

/// The way of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// The own one; another node may help if it fails.
    Direct,
    /// The own one, and nobody is asked.
    Alone,
    /// The own one, for a short time, to see whether it is open again.
    Probe,
    /// Through another node.
    Peer,
    /// None: the service is away from everybody, and a look was made a moment ago.
    Not,
}

#[derive(Debug, Clone, Copy)]
struct Away {
    probe: Moment,
    step: Duration,
}

/// What a node believes of its own way.
#[derive(Debug, Clone, Copy, Default)]
pub struct Detour {
    away: Option<Away>,
    /// Until when nobody is asked; none once somebody has helped.
    alone: Option<Moment>,
    /// When to look next while nobody can help.
    look: Option<Moment>,
    /// How long after a look that is.
    pace: Option<Duration>,
    /// How long after the way closed the first look is.
    phase: Duration,
}

impl Detour {
    /// The way of a call. Only one that may be made again looks whether the own way is open.
    pub fn way(&mut self, again: bool, now: Moment) -> Way {
        let Some(away) = self.away else { return Way::Direct };
        match self.alone {
            Some(until) if now < until => self.look(now),
            Some(_) => {
                self.alone(now);
                Way::Peer
            }
            None if again && now >= away.probe => Way::Probe,
            None => Way::Peer,
        }
    }

    /// Whether this call is the one that looks.
    fn look(&mut self, now: Moment) -> Way {
        if self.look.is_some_and(|at| now < at) {
            return Way::Not;
        }
        self.look = Some(now + self.pace.unwrap_or(LEAST));
        Way::Alone
    }

    /// Sets the time between two looks while nobody can help, and where in it the first one
    /// lies. All find the way closed at the same moment: without their own phases 250 nodes
    /// made no look for six seconds, and found the service back two seconds late.
    pub fn set_pace(&mut self, pace: Duration, draw: u32) {
        self.pace = Some(pace);
        self.phase = pace.mul_f64(part(draw));
    }

    /// Whether the own way is open, as far as is known.
    pub fn open(&self) -> bool {
        self.away.is_none()
    }

    /// Whether the service is away from everybody, as far as is known.
    pub fn nobody(&self) -> bool {
        self.away.is_some() && self.alone.is_some()
    }

    /// The service answered on the own way. True if it had not before.
    pub fn answered(&mut self) -> bool {
        self.look = None;
        self.away.take().is_some()
    }

    /// Another node says that the service answers again: the next call shows whether it does
    /// so here, and takes no look of its own.
    pub fn told(&mut self) {
        *self = Self { pace: self.pace, phase: self.phase, ..Self::default() };
    }

    /// A call on the own way failed. True if it is news.
    pub fn failed(&mut self, now: Moment) -> bool {
        let step = self.away.map_or(FIRST, |away| (away.step * 2).min(LONGEST));
        let news = self.away.is_none();
        if news {
            self.look = self.pace.map(|_| now + self.phase);
        }
        self.away = Some(Away { probe: now + step, step });
        news
    }

    /// Nobody could help.
    pub fn alone(&mut self, now: Moment) {
        self.alone = Some(now + ALONE);
    }

    /// Somebody helped. True if nobody could before.
    pub fn helped(&mut self) -> bool {
        self.look = None;
        self.alone.take().is_some()
    }
}
