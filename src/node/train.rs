//! The steps of trainers that this node holds.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use super::app::App;
use super::complete::{Whole, complete};
use crate::Name;
use crate::bundle::TrainerSpec;
use crate::decide::{Call, Class, Fill, Group, Prompt, Repeat, Sample, Slot, Spec, Step};
use crate::edge::upstream::Completion;
use crate::error::{Kind, Refusal};

/// Locks that the steps are spread over.
const SHARDS: usize = 16;
/// How long one sample may take before it is begun again.
const SAMPLE: Duration = Duration::from_secs(420);
/// Pause before a sample that failed is begun again.
const PAUSE: Duration = Duration::from_millis(100);
/// The longest that a pull waits.
const LONGEST: Duration = Duration::from_secs(30);

type Key = (Name, u64);

/// A trainer's pull: where it is and what it has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// The version that the trainer is at.
    pub version: u64,
    /// The groups of this step that it has.
    pub have: Vec<u32>,
    /// The most groups to hand over.
    pub most: usize,
    /// How long to wait for the first, in milliseconds.
    pub wait_ms: u64,
}

/// What a pull brings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pulled {
    /// Whole groups that the trainer does not have.
    pub groups: Vec<Group>,
    /// Whether the trainer has every group.
    pub complete: bool,
}

#[derive(Debug)]
struct Held {
    trainer: Name,
    number: u64,
    spec: TrainerSpec,
    step: Mutex<Step>,
    filled: Notify,
    cancel: CancellationToken,
}

/// The steps held here, in shards with a lock each.
#[derive(Debug, Default)]
pub(super) struct Steps {
    shards: [Mutex<HashMap<Key, Arc<Held>>>; SHARDS],
}

impl Steps {
    /// How many steps are held.
    pub(super) fn held(&self) -> usize {
        self.shards.iter().map(|s| s.lock().len()).sum()
    }

    fn shard(&self, key: &Key) -> &Mutex<HashMap<Key, Arc<Held>>> {
        let hash = xxh3_64(key.0.as_bytes()).wrapping_add(key.1);
        &self.shards[hash as usize % SHARDS]
    }
}

/// Takes a step in. Submitting the same step again changes nothing.
pub(super) fn submit(
    app: &Arc<App>,
    trainer: Name,
    number: u64,
    spec: Spec,
) -> Result<(), Refusal> {
    let adopted = app.bundle()?;
    let rules = adopted.bundle.trainers.get(&trainer).ok_or_else(|| {
        Refusal::new(Kind::UnknownTrainer, format!("no trainer {trainer} in the bundle"))
    })?;
    let key = (trainer.clone(), number);
    let mut shard = app.steps.shard(&key).lock();
    if let Some(held) = shard.get(&key) {
        let same = held.step.lock().spec().groups == spec.groups;
        let differs = || Refusal::new(Kind::KeyReused, "the step was submitted with other groups");
        return if same { Ok(()) } else { Err(differs()) };
    }
    let held = Arc::new(Held {
        trainer,
        number,
        spec: rules.clone(),
        step: Mutex::new(Step::new(spec, rules.staleness)),
        filled: Notify::new(),
        cancel: app.cancel.child_token(),
    });
    shard.insert(key, held.clone());
    drop(shard);
    start(app, &held);
    Ok(())
}

/// Hands over whole groups, or waits until there is one.
pub(super) async fn pull(
    app: &Arc<App>,
    trainer: Name,
    number: u64,
    pull: Pull,
) -> Result<Pulled, Refusal> {
    let key = (trainer, number);
    let unknown = || Refusal::new(Kind::UnknownStep, format!("step {number} is not held here"));
    let held = app.steps.shard(&key).lock().get(&key).cloned().ok_or_else(unknown)?;
    let wait = Duration::from_millis(pull.wait_ms).min(LONGEST);
    let until = tokio::time::Instant::now() + wait;
    loop {
        let filled = held.filled.notified();
        tokio::pin!(filled);
        filled.as_mut().enable();
        let pulled = look(app, &held, &pull);
        if pulled.complete {
            held.cancel.cancel();
            app.steps.shard(&key).lock().remove(&key);
        }
        if pulled.complete || !pulled.groups.is_empty() {
            return Ok(pulled);
        }
        if tokio::time::timeout_at(until, filled).await.is_err() {
            return Ok(pulled);
        }
    }
}

fn look(app: &Arc<App>, held: &Arc<Held>, pull: &Pull) -> Pulled {
    let pulled = {
        let mut step = held.step.lock();
        step.acknowledge(pull.version, &pull.have);
        Pulled { groups: step.ready(pull.most.max(1)), complete: step.complete() }
    };
    start(app, held);
    let samples: usize = pulled.groups.iter().map(|g| g.samples.len()).sum();
    app.metrics.samples.inc_by(samples as u64);
    pulled
}

fn start(app: &Arc<App>, held: &Arc<Held>) {
    let slots = held.step.lock().start();
    for slot in slots {
        let (app, held) = (app.clone(), held.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = held.cancel.cancelled() => {}
                () = fill(&app, &held, slot) => {}
            }
        });
    }
}

/// Makes attempts at a slot until it is filled or no longer wanted.
async fn fill(app: &App, held: &Held, slot: Slot) {
    for attempt in 0_u32.. {
        let Some(prompt) = wanted(held, slot) else { return };
        match sample(app, held, slot, prompt, attempt).await {
            Ok(sample) => {
                let fill = held.step.lock().fill(slot, sample);
                match fill {
                    Fill::Kept | Fill::Late => {
                        held.filled.notify_waiters();
                        return;
                    }
                    Fill::Stale => {
                        app.metrics.discarded.inc();
                        tracing::info!(event = "sample_stale", trainer = %held.trainer, ?slot);
                    }
                }
            }
            Err(refusal) => {
                tracing::debug!(event = "sample_failed", trainer = %held.trainer, ?slot, %refusal);
                app.metrics.refused(refusal.kind);
                tokio::time::sleep(refusal.after.unwrap_or(PAUSE)).await;
            }
        }
    }
}

fn wanted(held: &Held, slot: Slot) -> Option<Prompt> {
    let step = held.step.lock();
    if step.wanted(slot) { step.prompt(slot).cloned() } else { None }
}

async fn sample(
    app: &App,
    held: &Held,
    slot: Slot,
    prompt: Prompt,
    attempt: u32,
) -> Result<Sample, Refusal> {
    let dispatcher = app.dispatcher(&held.spec.service)?;
    let name = format!("{}/{}/{}/{}", held.trainer, held.number, slot.group, slot.index);
    let request = Completion {
        model: held.spec.service.to_string(),
        max_tokens: prompt.max_tokens,
        stream: true,
        priority: 0,
        seed: xxh3_64(name.as_bytes()),
        request_id: format!("{name}/{attempt}"),
        prior: None,
        prompt: prompt.prompt,
    };
    let call = Call {
        caller: held.trainer.clone(),
        class: Class::Training,
        repeat: Repeat::Idempotent,
        cost: prompt.max_tokens,
        deadline: app.clock.now() + SAMPLE,
        fingerprint: xxh3_64(request.prompt.as_bytes()),
        prefix: Some(xxh3_64(request.prompt.as_bytes())),
    };
    let whole = complete(app, &dispatcher, call, request, None).await?;
    labelled(app, slot, whole)
}

fn labelled(app: &App, slot: Slot, whole: Whole) -> Result<Sample, Refusal> {
    let Whole { text, label, upstream, .. } = whole;
    let label = label.finish().map_err(|e| {
        app.metrics.discarded.inc();
        Refusal::new(Kind::Truncated, e.to_string())
    })?;
    Ok(Sample { index: slot.index, text, label, upstream })
}
