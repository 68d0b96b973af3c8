//! The suspects and the quarantined, as one node knows them.
//!
//! Every request in flight at a crashed upstream is a suspect. A suspect runs again
//! without another suspect beside it. It is cleared once it completes, or once it
//! has run twice as long as it had at the crashed upstream: a request that crashes
//! its upstream after some time does so again after about that time. A second crash
//! quarantines it.

use std::collections::HashMap;
use std::time::Duration;

use super::{CrashId, Notice, Suspicion};
use crate::{Moment, Name};

/// Crashes after which a fingerprint is quarantined. One crash may be chance and
/// befalls all that share the engine; the second one befell a suspect on its own.
const CRASHES: usize = 2;
/// How long a suspect is remembered: callers' programs retry within minutes.
const SUSPECT: Duration = Duration::from_secs(600);
/// How long a quarantine lasts: long enough to mend an engine or a caller, short
/// enough that a wrong one ends by itself.
const QUARANTINED: Duration = Duration::from_secs(3_600);
/// Two nodes that see the same upstream crash within so long saw one crash; an engine
/// needs longer than that to load its weights and crash again.
const SAME: Duration = Duration::from_secs(2);
/// Fingerprints that are remembered: 100 engines with 40 requests each in one rack.
pub const LIMIT: usize = 4_096;
/// Least length of a trial: a few tokens of a busy engine.
const LEAST: Duration = Duration::from_millis(500);
/// Longest length of a trial.
const MOST: Duration = Duration::from_secs(60);

/// How a fingerprint stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing is known against it.
    Clear,
    /// It was there at one crash: it may run without another suspect beside it, and
    /// is cleared after running for so long.
    Suspect(Duration),
    /// It is refused for so long from now.
    Quarantined(Duration),
}

/// An attempt in flight at an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Flight {
    /// The upstream.
    pub upstream: Name,
    /// Hash of the service and the content.
    pub fingerprint: u64,
    /// When it was sent.
    pub started: Moment,
}

#[derive(Debug, Clone)]
struct Seen {
    crash: CrashId,
    upstream: Name,
    at: Moment,
    ran: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Crash {
    number: u64,
    at: Moment,
}

/// What is known of a fingerprint. It stays for a while after it was cleared, so that
/// older news, which may come later, count no more.
#[derive(Debug, Clone, Default)]
struct Known {
    epoch: u32,
    seen: Vec<Seen>,
    touched: Moment,
}

impl Known {
    fn quarantined(&self) -> bool {
        self.seen.len() >= CRASHES
    }

    fn keep(&self) -> Duration {
        if self.quarantined() { QUARANTINED } else { SUSPECT }
    }
}

/// What one node knows.
#[derive(Debug, Clone)]
pub struct Quarantine {
    me: Name,
    /// The number of this node's next crash.
    next: u64,
    /// The last crash of each upstream.
    crashes: HashMap<Name, Crash>,
    known: HashMap<u64, Known>,
}

impl Quarantine {
    /// Nothing is known. `first` is a random number, for [`CrashId`].
    pub fn new(me: Name, first: u64) -> Self {
        Self { me, next: first, crashes: HashMap::new(), known: HashMap::new() }
    }

    /// How a fingerprint stands.
    pub fn standing(&self, fingerprint: u64, now: Moment) -> Standing {
        let Some(known) = self.known.get(&fingerprint) else { return Standing::Clear };
        let left = known.keep().saturating_sub(now.saturating_sub(known.touched));
        if known.seen.is_empty() || left.is_zero() {
            return Standing::Clear;
        }
        if known.quarantined() {
            return Standing::Quarantined(left);
        }
        let ran = known.seen.iter().map(|s| s.ran).max().unwrap_or_default();
        Standing::Suspect((2 * ran + LEAST).min(MOST))
    }

    /// The upstream of a flight crashed under it; the flight broke at `broke`. Returns
    /// what to tell the other nodes.
    pub fn crashed(&mut self, flight: &Flight, broke: Moment, now: Moment) -> Notice {
        let number = match self.crashes.get(&flight.upstream) {
            // It was there already when the upstream was first seen to crash.
            Some(crash) if flight.started <= crash.at => crash.number,
            Some(_) | None => {
                self.next = self.next.wrapping_add(1);
                let crash = Crash { number: self.next, at: broke };
                self.crashes.insert(flight.upstream.clone(), crash);
                self.next
            }
        };
        let suspicion = Suspicion {
            fingerprint: flight.fingerprint,
            epoch: self.known.get(&flight.fingerprint).map_or(0, |k| k.epoch),
            crash: CrashId { node: self.me.clone(), number },
            upstream: flight.upstream.clone(),
            ran_ms: broke.saturating_sub(flight.started).as_millis() as u64,
            age_ms: now.saturating_sub(broke).as_millis() as u64,
        };
        self.suspect(&suspicion, now);
        Notice::Suspect(suspicion)
    }

    /// A fingerprint ran without a crash. Returns what to tell the other nodes, if it
    /// was a suspect. What is quarantined stays so.
    pub fn passed(&mut self, fingerprint: u64, now: Moment) -> Option<Notice> {
        let known = self.known.get_mut(&fingerprint)?;
        if known.quarantined() || known.seen.is_empty() {
            return None;
        }
        let epoch = known.epoch + 1;
        *known = Known { epoch, seen: Vec::new(), touched: now };
        Some(Notice::Clear { fingerprint, epoch })
    }

    /// Another node tells. Returns whether that was new.
    pub fn told(&mut self, news: &Notice, now: Moment) -> bool {
        match news {
            Notice::Suspect(suspicion) => self.suspect(suspicion, now),
            Notice::Clear { fingerprint, epoch } => self.clear(*fingerprint, *epoch, now),
        }
    }

    /// Everything that is known, for a node that starts.
    pub fn all(&self, now: Moment) -> Vec<Notice> {
        let each = self.known.iter().flat_map(|(fingerprint, known)| {
            known.seen.iter().map(|s| {
                Notice::Suspect(Suspicion {
                    fingerprint: *fingerprint,
                    epoch: known.epoch,
                    crash: s.crash.clone(),
                    upstream: s.upstream.clone(),
                    ran_ms: s.ran.as_millis() as u64,
                    age_ms: now.saturating_sub(s.at).as_millis() as u64,
                })
            })
        });
        each.collect()
    }

    /// Forgets what is old.
    pub fn tick(&mut self, now: Moment) {
        self.known.retain(|_, k| now.saturating_sub(k.touched) < k.keep());
        self.crashes.retain(|_, crash| now.saturating_sub(crash.at) < QUARANTINED);
    }

    /// How many are suspects, and how many are quarantined.
    pub fn counts(&self) -> (usize, usize) {
        let suspects = self.known.values().filter(|k| !k.seen.is_empty() && !k.quarantined());
        let quarantined = self.known.values().filter(|k| k.quarantined());
        (suspects.count(), quarantined.count())
    }

    fn suspect(&mut self, suspicion: &Suspicion, now: Moment) -> bool {
        if !self.known.contains_key(&suspicion.fingerprint) && self.known.len() >= LIMIT {
            self.evict();
        }
        let at = now.saturating_sub(Duration::from_millis(suspicion.age_ms));
        let known = self.known.entry(suspicion.fingerprint).or_default();
        if suspicion.epoch < known.epoch || known.quarantined() {
            return false;
        }
        if suspicion.epoch > known.epoch {
            *known = Known { epoch: suspicion.epoch, ..Known::default() };
        }
        let again = known.seen.iter().any(|s| {
            let one = s.upstream == suspicion.upstream && s.crash.node != suspicion.crash.node;
            s.crash == suspicion.crash || (one && at.abs_diff(s.at) < SAME)
        });
        if again {
            return false;
        }
        known.touched = known.touched.max(at);
        known.seen.push(Seen {
            crash: suspicion.crash.clone(),
            upstream: suspicion.upstream.clone(),
            at,
            ran: Duration::from_millis(suspicion.ran_ms),
        });
        true
    }

    fn clear(&mut self, fingerprint: u64, epoch: u32, now: Moment) -> bool {
        let Some(known) = self.known.get_mut(&fingerprint) else { return false };
        if known.quarantined() || epoch <= known.epoch {
            return false;
        }
        *known = Known { epoch, seen: Vec::new(), touched: now };
        true
    }

    /// Makes room: the oldest suspect goes before any that is quarantined.
    fn evict(&mut self) {
        let age = |known: &Known| (known.seen.len(), known.touched);
        let oldest = self.known.iter().min_by_key(|(_, known)| age(known)).map(|(f, _)| *f);
        if let Some(oldest) = oldest {
            self.known.remove(&oldest);
        }
    }
}
