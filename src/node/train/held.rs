//! The steps held here, from the submission until the trainer has them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use super::fill;
use super::message::Submit;
use crate::Name;
use crate::bundle::TrainerSpec;
use crate::decide::{Ranges, SlowEngineDetector, Step};
use crate::error::{Kind, Refusal};
use crate::node::app::App;
use crate::node::lifecycle::Phase;

/// Locks that the steps are spread over.
const SHARDS: usize = 16;

pub(super) type Key = (Name, u64);

/// A step under way.
#[derive(Debug)]
pub(super) struct Held {
    pub(super) trainer: Name,
    pub(super) number: u64,
    pub(super) spec: TrainerSpec,
    pub(super) step: Mutex<Step>,
    /// The oldest version that a sample may have now, read for every chunk.
    pub(super) floor: AtomicU64,
    /// How fast its samples come.
    pub(super) drag: Mutex<SlowEngineDetector>,
    /// A sample came in.
    pub(super) filled: Notify,
    /// Ends what is under way for the step.
    pub(super) cancel: CancellationToken,
    /// The trainer has asked for groups; before that, it only submitted the step.
    pub(super) asked: AtomicBool,
    seen: Mutex<Instant>,
}

impl Held {
    /// The trainer says where it is and what it has.
    pub(super) fn acknowledge(&self, version: u64, have: &Ranges) {
        let mut step = self.step.lock();
        step.acknowledge(version, have);
        self.floor.store(step.min_version(), Ordering::Relaxed);
    }

    /// The trainer asked for the step just now.
    pub(super) fn touch(&self) {
        *self.seen.lock() = Instant::now();
    }

    fn key(&self) -> Key {
        (self.trainer.clone(), self.number)
    }
}

/// The steps held here, in shards with a lock each.
#[derive(Debug, Default)]
pub(in crate::node) struct Steps {
    shards: [Mutex<HashMap<Key, Arc<Held>>>; SHARDS],
    /// The newest version that each trainer was heard to be at, in any step.
    versions: Mutex<HashMap<Name, u64>>,
}

impl Steps {
    /// How many steps are held.
    pub(in crate::node) fn held(&self) -> usize {
        self.shards.iter().map(|s| s.lock().len()).sum()
    }

    fn shard(&self, key: &Key) -> &Mutex<HashMap<Key, Arc<Held>>> {
        let hash = xxh3_64(key.0.as_bytes()).wrapping_add(key.1);
        &self.shards[hash as usize % SHARDS]
    }

    /// A step that is held here.
    pub(super) fn get(&self, key: &Key) -> Option<Arc<Held>> {
        self.shard(key).lock().get(key).cloned()
    }

    /// Lets a step go and ends what is under way for it.
    pub(super) fn release(&self, held: &Held) {
        held.cancel.cancel();
        self.shard(&held.key()).lock().remove(&held.key());
    }

    /// A trainer's version: the newest that it ever named. A pull that was under
    /// way while the trainer moved on must not be judged by the version in it.
    pub(super) fn version(&self, trainer: &Name, named: u64) -> u64 {
        let mut versions = self.versions.lock();
        let newest = versions.entry(trainer.clone()).or_default();
        *newest = named.max(*newest);
        *newest
    }
}

/// Takes a step in. Submitting the same step again changes nothing.
pub(in crate::node) fn submit(
    app: &Arc<App>,
    trainer: Name,
    number: u64,
    submit: Submit,
) -> Result<(), Refusal> {
    let adopted = app.bundle()?;
    let rules = adopted.bundle.trainers.get(&trainer).ok_or_else(|| {
        Refusal::new(Kind::UnknownTrainer, format!("no trainer {trainer} in the bundle"))
    })?;
    let Submit { spec, have, parts } = submit;
    let key = (trainer.clone(), number);
    let version = app.steps.version(&trainer, spec.version);
    let mut shard = app.steps.shard(&key).lock();
    if let Some(held) = shard.get(&key).cloned() {
        drop(shard);
        if held.step.lock().spec().groups != spec.groups {
            return Err(Refusal::new(Kind::KeyReused, "the step was submitted with other groups"));
        }
        held.touch();
        held.acknowledge(version, &have);
        fill::start(app, &held);
        return Ok(());
    }
    if leaving(app) {
        return Err(Refusal::new(Kind::Draining, "this node takes no new steps"));
    }
    let mut step = Step::new(spec, rules.staleness);
    step.acknowledge(version, &have);
    step.adopt(parts);
    let held = Arc::new(Held {
        trainer,
        number,
        spec: rules.clone(),
        floor: AtomicU64::new(step.min_version()),
        step: Mutex::new(step),
        drag: Mutex::default(),
        filled: Notify::new(),
        cancel: app.cancel.child_token(),
        asked: AtomicBool::new(false),
        seen: Mutex::new(Instant::now()),
    });
    shard.insert(key, held.clone());
    drop(shard);
    tokio::spawn(reap(app.clone(), held.clone()));
    fill::start(app, &held);
    Ok(())
}

/// Whether the node is on its way out and lets its steps go to another that serves.
pub(super) fn leaving(app: &App) -> bool {
    match app.phase() {
        Phase::Starting | Phase::Serving => false,
        Phase::Draining | Phase::Closing | Phase::Stopped => app.others_serve(),
    }
}

/// Drops the step once nobody has asked for it for the bundle's time.
async fn reap(app: Arc<App>, held: Arc<Held>) {
    loop {
        let until = *held.seen.lock() + held.spec.abandoned;
        tokio::select! {
            () = held.cancel.cancelled() => return,
            () = tokio::time::sleep_until(until) => {}
        }
        if *held.seen.lock() + held.spec.abandoned <= Instant::now() {
            app.steps.release(&held);
            tracing::info!(
                event = "step_abandoned",
                trainer = %held.trainer,
                step = held.number,
            );
            return;
        }
    }
}
