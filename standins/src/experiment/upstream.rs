//! Model of one upstream: its service times and its queue.
//!
//! Running attempts share the machine equally. Up to the knee, each runs at the full rate;
//! from the knee to the batch size, all share the same total rate. Further attempts wait in a
//! first-in, first-out queue.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use mulberrycourse::Moment;
use mulberrycourse::decide::Ticket;

/// Largest number of waiting attempts before the upstream refuses; about the size of a listen
/// backlog.
const MAX_WAITING: usize = 512;
/// Largest number of prompt prefixes in the cache.
const MAX_CACHED_PREFIXES: usize = 8;

/// Identifies an attempt by its request and its number.
pub type AttemptKey = (Ticket, u32);

/// The concurrency and the rates of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamProfile {
    /// Attempts that can run at the full rate at the same time.
    pub knee: usize,
    /// Attempts that can run at the same time.
    pub batch: usize,
    /// Rate of each attempt up to the knee, in units of work per second.
    pub rate: f64,
    /// Units of work that a prompt adds whose prefix is not in the cache.
    pub prefill: f64,
}

impl UpstreamProfile {
    /// A model engine: 16 streams at 50 tokens per second each, or 32 at half that rate.
    pub const ENGINE: Self = Self { knee: 16, batch: 32, rate: 50.0, prefill: 16.0 };
    /// A plain service: 8 workers, 20 ms per call.
    pub const PLAIN: Self = Self { knee: 8, batch: 8, rate: 50.0, prefill: 0.0 };

    /// The largest total rate, in units of work per second.
    pub fn capacity(&self) -> f64 {
        self.knee as f64 * self.rate
    }
}

/// An attempt that runs.
#[derive(Debug, Clone, Copy)]
struct Running {
    /// The reading of the work clock at which it finishes.
    finish: f64,
    /// Units of work that it takes, including prefill.
    work: f64,
}

/// An attempt that has finished or been aborted, with the work done on it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FinishedAttempt {
    /// The attempt.
    pub attempt: AttemptKey,
    /// Units of work done on it.
    pub work: f64,
}

/// The state of a simulated upstream.
#[derive(Debug)]
pub struct SimulatedUpstream {
    profile: UpstreamProfile,
    /// Factor by which every rate is divided.
    pub slowdown: f64,
    /// Whether it makes no progress although it still accepts requests.
    pub frozen: bool,
    /// Whether connections to it are refused.
    pub down: bool,
    /// Units of work done so far on each attempt that has run throughout.
    work_clock: f64,
    /// When `work_clock` was last brought up to date.
    updated_at: Moment,
    /// Running attempts in the order of their finish, which is stored as the bits of an `f64`.
    finish_order: BTreeSet<(u64, AttemptKey)>,
    running: HashMap<AttemptKey, Running>,
    /// Waiting attempts with their units of work.
    waiting: VecDeque<(AttemptKey, f64)>,
    /// Cached prompt prefixes, with the most recently used one last.
    prefixes: VecDeque<u64>,
}

impl SimulatedUpstream {
    /// Creates an idle upstream.
    pub fn new(profile: UpstreamProfile) -> Self {
        Self {
            profile,
            slowdown: 1.0,
            frozen: false,
            down: false,
            work_clock: 0.0,
            updated_at: Moment::ZERO,
            finish_order: BTreeSet::new(),
            running: HashMap::new(),
            waiting: VecDeque::new(),
            prefixes: VecDeque::new(),
        }
    }

    /// Accepts an attempt of so many units of work; returns false if the queue is full.
    pub fn accept(
        &mut self,
        attempt: AttemptKey,
        work: f64,
        prefix: Option<u64>,
        now: Moment,
    ) -> bool {
        if self.waiting.len() >= MAX_WAITING {
            return false;
        }
        self.advance(now);
        let work = work + self.prefill_work(prefix);
        self.waiting.push_back((attempt, work));
        self.start_waiting();
        true
    }

    /// Cancels an attempt and returns the work that was done on it.
    pub fn cancel(&mut self, attempt: AttemptKey, now: Moment) -> f64 {
        self.advance(now);
        self.waiting.retain(|(waiting, _)| *waiting != attempt);
        let Some(running) = self.running.remove(&attempt) else { return 0.0 };
        self.finish_order.remove(&(running.finish.to_bits(), attempt));
        self.start_waiting();
        running.work - (running.finish - self.work_clock).max(0.0)
    }

    /// Removes and returns the attempts that have finished by now.
    pub fn take_finished(&mut self, now: Moment) -> Vec<FinishedAttempt> {
        self.advance(now);
        let mut finished = Vec::new();
        while let Some((finish, attempt)) = self.finish_order.first().copied() {
            if f64::from_bits(finish) > self.work_clock + 1e-9 {
                break;
            }
            self.finish_order.pop_first();
            if let Some(running) = self.running.remove(&attempt) {
                finished.push(FinishedAttempt { attempt, work: running.work });
            }
        }
        self.start_waiting();
        finished
    }

    /// Crashes the process and returns the attempts that it aborts.
    pub fn crash(&mut self, now: Moment) -> Vec<FinishedAttempt> {
        self.advance(now);
        self.finish_order.clear();
        self.prefixes.clear();
        let clock = self.work_clock;
        let mut aborted: Vec<FinishedAttempt> = self
            .running
            .drain()
            .map(|(attempt, r)| FinishedAttempt {
                attempt,
                work: r.work - (r.finish - clock).max(0.0),
            })
            .chain(
                self.waiting.drain(..).map(|(attempt, _)| FinishedAttempt { attempt, work: 0.0 }),
            )
            .collect();
        aborted.sort_by_key(|f| f.attempt);
        aborted
    }

    /// When the next attempt finishes, if nothing changes.
    pub fn next_finish(&self) -> Option<Moment> {
        let rate = self.rate();
        let (finish, _) = self.finish_order.first()?;
        if rate <= 0.0 {
            return None;
        }
        let left = (f64::from_bits(*finish) - self.work_clock).max(0.0) / rate;
        Some(self.updated_at + Duration::from_secs_f64(left) + Duration::from_nanos(1))
    }

    /// The number of running and waiting attempts.
    pub fn len(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Whether no attempt runs or waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Brings the work clock up to date. It must be called before `slowdown`, `frozen` or `down`
    /// changes.
    pub fn advance(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.work_clock += elapsed * self.rate();
        self.updated_at = self.updated_at.max(now);
    }

    /// The current rate of each running attempt, in units of work per second.
    fn rate(&self) -> f64 {
        if self.frozen || self.down {
            return 0.0;
        }
        let share = self.profile.knee as f64 / self.running.len().max(1) as f64;
        self.profile.rate * share.min(1.0) / self.slowdown
    }

    /// Starts waiting attempts while the batch has room.
    fn start_waiting(&mut self) {
        while self.running.len() < self.profile.batch {
            let Some((attempt, work)) = self.waiting.pop_front() else { return };
            let finish = self.work_clock + work;
            self.finish_order.insert((finish.to_bits(), attempt));
            self.running.insert(attempt, Running { finish, work });
        }
    }

    /// Units of work for a prompt with this prefix, which moves to the end of the cache.
    fn prefill_work(&mut self, prefix: Option<u64>) -> f64 {
        let Some(prefix) = prefix else { return 0.0 };
        let cached = self.prefixes.contains(&prefix);
        self.prefixes.retain(|p| *p != prefix);
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > MAX_CACHED_PREFIXES {
            self.prefixes.pop_front();
        }
        if cached { 0.0 } else { self.profile.prefill }
    }
}
