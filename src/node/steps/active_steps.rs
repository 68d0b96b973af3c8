//! The active steps of this node: from the submission until the trainer has received every group.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use super::messages::SubmitStepRequest;
use super::sampling;
use crate::Name;
use crate::bundle::TrainerSpec;
use crate::decide::{Ranges, SlowEngineDetector, Step};
use crate::error::{Kind, Refusal};
use crate::node::app::App;
use crate::node::lifecycle::Phase;

/// The number of shards that the steps are spread over. Each shard has its own lock.
const SHARD_COUNT: usize = 16;

/// Identifies a step by the trainer and the number of the step.
pub(super) type StepKey = (Name, u64);

/// A step that this node makes samples for.
#[derive(Debug)]
pub(super) struct ActiveStep {
    pub(super) trainer: Name,
    pub(super) number: u64,
    /// The trainer's entry in the bundle.
    pub(super) trainer_spec: TrainerSpec,
    pub(super) step: Mutex<Step>,
    /// The oldest weight version that a sample may contain now. It is read for every chunk.
    pub(super) min_version: AtomicU64,
    /// The token times of the step's samples.
    pub(super) slow_detector: Mutex<SlowEngineDetector>,
    /// Notified when a sample is stored.
    pub(super) sample_added: Notify,
    /// Cancels all work for the step.
    pub(super) cancel: CancellationToken,
    /// Whether the trainer has pulled groups. Until then, it has only submitted the step.
    pub(super) pulled: AtomicBool,
    last_request: Mutex<Instant>,
}

impl ActiveStep {
    /// Records the trainer's current version and the groups that it has received.
    pub(super) fn acknowledge(&self, version: u64, delivered: &Ranges) {
        let mut step = self.step.lock();
        step.acknowledge(version, delivered);
        self.min_version.store(step.min_version(), Ordering::Relaxed);
    }

    /// Records that the trainer has sent a request for the step now.
    pub(super) fn record_request(&self) {
        *self.last_request.lock() = Instant::now();
    }

    fn key(&self) -> StepKey {
        (self.trainer.clone(), self.number)
    }
}

/// The active steps, in shards with a lock each.
#[derive(Debug, Default)]
pub(in crate::node) struct ActiveSteps {
    shards: [Mutex<HashMap<StepKey, Arc<ActiveStep>>>; SHARD_COUNT],
    /// The newest weight version that each trainer has sent, in any step.
    trainer_versions: Mutex<HashMap<Name, u64>>,
}

impl ActiveSteps {
    /// Returns the number of active steps.
    pub(in crate::node) fn count(&self) -> usize {
        self.shards.iter().map(|s| s.lock().len()).sum()
    }

    fn shard(&self, key: &StepKey) -> &Mutex<HashMap<StepKey, Arc<ActiveStep>>> {
        let hash = xxh3_64(key.0.as_bytes()).wrapping_add(key.1);
        &self.shards[hash as usize % SHARD_COUNT]
    }

    /// Returns an active step.
    pub(super) fn get(&self, key: &StepKey) -> Option<Arc<ActiveStep>> {
        self.shard(key).lock().get(key).cloned()
    }

    /// Removes a step and cancels all work for it.
    pub(super) fn release(&self, active: &ActiveStep) {
        active.cancel.cancel();
        self.shard(&active.key()).lock().remove(&active.key());
    }

    /// Records a version that a trainer sent, and returns the newest that it has sent. A pull that
    /// was in progress while the trainer advanced must not be judged by its older version.
    pub(super) fn newest_version(&self, trainer: &Name, sent: u64) -> u64 {
        let mut versions = self.trainer_versions.lock();
        let newest = versions.entry(trainer.clone()).or_default();
        *newest = sent.max(*newest);
        *newest
    }
}

/// Accepts a step. Submitting the same step again only updates what the trainer has received.
pub(in crate::node) fn submit_step(
    app: &Arc<App>,
    trainer: Name,
    number: u64,
    request: SubmitStepRequest,
) -> Result<(), Refusal> {
    let adopted = app.bundle()?;
    let trainer_spec = adopted.bundle.trainers.get(&trainer).ok_or_else(|| {
        Refusal::new(Kind::UnknownTrainer, format!("no trainer {trainer} in the bundle"))
    })?;
    let SubmitStepRequest { spec, delivered, partial_groups } = request;
    let key = (trainer.clone(), number);
    let version = app.steps.newest_version(&trainer, spec.version);
    let mut shard = app.steps.shard(&key).lock();
    if let Some(active) = shard.get(&key).cloned() {
        drop(shard);
        if active.step.lock().spec().groups != spec.groups {
            return Err(Refusal::new(Kind::KeyReused, "the step was submitted with other groups"));
        }
        active.record_request();
        active.acknowledge(version, &delivered);
        sampling::start_samples(app, &active);
        return Ok(());
    }
    if releases_steps(app) {
        let detail = "this node is draining and accepts no new steps";
        return Err(Refusal::new(Kind::Draining, detail));
    }
    let mut step = Step::new(spec, trainer_spec.staleness_bound);
    step.acknowledge(version, &delivered);
    step.adopt(partial_groups);
    let active = Arc::new(ActiveStep {
        trainer,
        number,
        trainer_spec: trainer_spec.clone(),
        min_version: AtomicU64::new(step.min_version()),
        step: Mutex::new(step),
        slow_detector: Mutex::default(),
        sample_added: Notify::new(),
        cancel: app.cancel.child_token(),
        pulled: AtomicBool::new(false),
        last_request: Mutex::new(Instant::now()),
    });
    shard.insert(key, active.clone());
    drop(shard);
    tokio::spawn(remove_when_abandoned(app.clone(), active.clone()));
    sampling::start_samples(app, &active);
    Ok(())
}

/// Whether this node drains and releases its steps to another node that serves.
pub(super) fn releases_steps(app: &App) -> bool {
    match app.phase() {
        Phase::Starting | Phase::Serving => false,
        Phase::Draining | Phase::Closing | Phase::Stopped => app.others_serve(),
    }
}

/// Removes the step once the trainer has sent no request for it for the time that the bundle sets.
async fn remove_when_abandoned(app: Arc<App>, active: Arc<ActiveStep>) {
    loop {
        let until = *active.last_request.lock() + active.trainer_spec.abandon_after;
        tokio::select! {
            () = active.cancel.cancelled() => return,
            () = tokio::time::sleep_until(until) => {}
        }
        if *active.last_request.lock() + active.trainer_spec.abandon_after <= Instant::now() {
            app.steps.release(&active);
            tracing::info!(
                event = "step_abandoned",
                trainer = %active.trainer,
                step = active.number,
            );
            return;
        }
    }
}
