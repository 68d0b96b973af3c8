//! A model of one upstream: service times and a queue.
//!
//! All that run share the machine equally. Up to the knee each runs at its full rate; past
//! it, up to the batch, the same total is shared; what is more waits inside, first in,
//! first out.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use mulberrycourse::Moment;
use mulberrycourse::decide::Ticket;

/// Requests that wait inside before the upstream refuses: the order of a listen backlog.
const WAITING: usize = 512;
/// Prompt prefixes that are kept.
const PREFIXES: usize = 8;

/// One attempt: the request, and the number of the attempt.
pub type Job = (Ticket, u32);

/// The sizes of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Model {
    /// Requests that run at the full rate together.
    pub knee: usize,
    /// Requests that run at all.
    pub batch: usize,
    /// Units of work a second for each, up to the knee.
    pub rate: f64,
    /// Units of work that a prompt costs whose prefix is not kept.
    pub prefill: f64,
}

impl Model {
    /// A model engine: 16 streams of 50 tokens a second, 32 at half of that.
    pub const ENGINE: Self = Self { knee: 16, batch: 32, rate: 50.0, prefill: 16.0 };
    /// A plain service: 8 workers, 20 ms a call.
    pub const PLAIN: Self = Self { knee: 8, batch: 8, rate: 50.0, prefill: 0.0 };

    /// Units of work a second at most.
    pub fn capacity(&self) -> f64 {
        self.knee as f64 * self.rate
    }
}

#[derive(Debug, Clone, Copy)]
struct Running {
    finish: f64,
    work: f64,
}

/// A job that is over, with the work that it took.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Finished {
    /// Which.
    pub job: Job,
    /// Units of work done.
    pub work: f64,
}

/// Its state.
#[derive(Debug)]
pub struct Upstream {
    model: Model,
    /// Every rate is divided by this.
    pub slowness: f64,
    /// Whether it runs nothing while it goes on to take requests.
    pub frozen: bool,
    /// Whether connections to it are refused.
    pub down: bool,
    clock: f64,
    at: Moment,
    order: BTreeSet<(u64, Job)>,
    running: HashMap<Job, Running>,
    waiting: VecDeque<(Job, f64)>,
    prefixes: VecDeque<u64>,
}

impl Upstream {
    /// An idle upstream.
    pub fn new(model: Model) -> Self {
        Self {
            model,
            slowness: 1.0,
            frozen: false,
            down: false,
            clock: 0.0,
            at: Moment::ZERO,
            order: BTreeSet::new(),
            running: HashMap::new(),
            waiting: VecDeque::new(),
            prefixes: VecDeque::new(),
        }
    }

    /// Takes a job of so much work; false if it is refused.
    pub fn take(&mut self, job: Job, work: f64, prefix: Option<u64>, now: Moment) -> bool {
        if self.waiting.len() >= WAITING {
            return false;
        }
        self.advance(now);
        let work = work + self.prefill(prefix);
        self.waiting.push_back((job, work));
        self.fill();
        true
    }

    /// Gives a job up; the work that was done on it.
    pub fn cancel(&mut self, job: Job, now: Moment) -> f64 {
        self.advance(now);
        self.waiting.retain(|(j, _)| *j != job);
        let Some(running) = self.running.remove(&job) else { return 0.0 };
        self.order.remove(&(running.finish.to_bits(), job));
        self.fill();
        running.work - (running.finish - self.clock).max(0.0)
    }

    /// Takes the jobs that are over by now.
    pub fn finished(&mut self, now: Moment) -> Vec<Finished> {
        self.advance(now);
        let mut over = Vec::new();
        while let Some((finish, job)) = self.order.first().copied() {
            if f64::from_bits(finish) > self.clock + 1e-9 {
                break;
            }
            self.order.pop_first();
            if let Some(running) = self.running.remove(&job) {
                over.push(Finished { job, work: running.work });
            }
        }
        self.fill();
        over
    }

    /// The process dies: every job breaks off.
    pub fn crash(&mut self, now: Moment) -> Vec<Finished> {
        self.advance(now);
        self.order.clear();
        self.prefixes.clear();
        let clock = self.clock;
        let mut jobs: Vec<Finished> = self
            .running
            .drain()
            .map(|(job, r)| Finished { job, work: r.work - (r.finish - clock).max(0.0) })
            .chain(self.waiting.drain(..).map(|(job, _)| Finished { job, work: 0.0 }))
            .collect();
        jobs.sort_by_key(|f| f.job);
        jobs
    }

    /// When the next job is over, if nothing changes.
    pub fn next(&self) -> Option<Moment> {
        let rate = self.rate();
        let (finish, _) = self.order.first()?;
        if rate <= 0.0 {
            return None;
        }
        let left = (f64::from_bits(*finish) - self.clock).max(0.0) / rate;
        Some(self.at + Duration::from_secs_f64(left) + Duration::from_nanos(1))
    }

    /// Jobs that run or wait.
    pub fn len(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Brings the clock of work up to now; call before changing a fault.
    pub fn advance(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.clock += elapsed * self.rate();
        self.at = self.at.max(now);
    }

    fn rate(&self) -> f64 {
        if self.frozen || self.down {
            return 0.0;
        }
        let share = self.model.knee as f64 / self.running.len().max(1) as f64;
        self.model.rate * share.min(1.0) / self.slowness
    }

    fn fill(&mut self) {
        while self.running.len() < self.model.batch {
            let Some((job, work)) = self.waiting.pop_front() else { return };
            let finish = self.clock + work;
            self.order.insert((finish.to_bits(), job));
            self.running.insert(job, Running { finish, work });
        }
    }

    fn prefill(&mut self, prefix: Option<u64>) -> f64 {
        let Some(prefix) = prefix else { return 0.0 };
        let kept = self.prefixes.contains(&prefix);
        self.prefixes.retain(|p| *p != prefix);
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > PREFIXES {
            self.prefixes.pop_front();
        }
        if kept { 0.0 } else { self.model.prefill }
    }
}
