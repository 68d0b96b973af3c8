//! Making the samples of a step.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::held::{Held, leaving};
use crate::decide::{
    Call, Class, FillOutcome, GroupSpec, Repeat, Sample, Slot, StartDecision, early_samples,
    max_running,
};
use crate::edge::upstream::CompletionRequest;
use crate::error::Refusal;
use crate::node::app::App;
use crate::node::complete::{Job, Progress, Whole, complete};

/// How long one sample may take before it is begun again.
const SAMPLE: Duration = Duration::from_secs(420);
/// Pause before a sample that failed is begun again.
const PAUSE: Duration = Duration::from_millis(100);

/// Begins as many slots as the upstreams have places for, and some. Before the trainer
/// asks for the step, only as many as the bundle's `idle_weight` allows.
pub(super) fn start(app: &Arc<App>, held: &Arc<Held>) {
    if leaving(app) {
        return;
    }
    let most = max_running(places(app, held));
    let slots = if held.asked.load(Ordering::Relaxed) {
        held.step.lock().start(most)
    } else {
        let weight = app.bundles.current().map_or(0.0, |a| a.bundle.idle_weight);
        let mut step = held.step.lock();
        let early = early_samples(weight, step.sample_count(), step.bound());
        step.start_early(most, early as usize)
    };
    for slot in slots {
        let (app, held) = (app.clone(), held.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = held.cancel.cancelled() => return,
                () = fill(&app, &held, slot) => {}
            }
            start(&app, &held);
        });
    }
}

fn places(app: &App, held: &Held) -> usize {
    let Some(adopted) = app.bundles.current() else { return 0 };
    let Some(service) = adopted.bundle.services.get(&held.spec.service) else { return 0 };
    app.upstreams.of(&service.name).len() * service.concurrency as usize
}

/// Makes attempts at a slot until it is filled or no longer wanted.
async fn fill(app: &App, held: &Held, slot: Slot) {
    let mut progress = Progress::default();
    let mut attempt = 0;
    while let Some(prompt) = wanted(held, slot) {
        if useless(held, &progress) {
            discarded(app, held, slot);
            progress = Progress::default();
            attempt += 1;
        }
        if prospect(app, held) == StartDecision::Wait {
            tokio::time::sleep(PAUSE).await;
            continue;
        }
        match sample(app, held, slot, prompt, attempt, &mut progress).await {
            Ok(sample) => {
                if sample.is_some_and(|sample| keep(held, slot, sample)) {
                    return;
                }
                discarded(app, held, slot);
                attempt += 1;
            }
            Err(refusal) => {
                tracing::debug!(event = "sample_failed", trainer = %held.trainer, ?slot, %refusal);
                app.metrics.refused(refusal.kind);
                tokio::time::sleep(refusal.after.unwrap_or(PAUSE)).await;
            }
        }
    }
}

/// Puts a sample into its slot; false if it came too late to be fresh.
fn keep(held: &Held, slot: Slot, sample: Sample) -> bool {
    let fill = held.step.lock().fill(slot, sample);
    match fill {
        FillOutcome::Kept | FillOutcome::Late => {
            held.filled.notify_waiters();
            true
        }
        FillOutcome::Stale => false,
    }
}

fn discarded(app: &App, held: &Held, slot: Slot) {
    app.metrics.discarded.inc();
    tracing::info!(event = "sample_discarded", trainer = %held.trainer, ?slot);
}

fn wanted(held: &Held, slot: Slot) -> Option<GroupSpec> {
    let step = held.step.lock();
    if step.wanted(slot) { step.group(slot).cloned() } else { None }
}

/// Whether what is there of a sample can't be handed over any more.
fn useless(held: &Held, progress: &Progress) -> bool {
    let floor = held.floor.load(Ordering::Relaxed);
    progress.label.has_gap() || progress.label.oldest().is_some_and(|oldest| oldest < floor)
}

fn prospect(app: &App, held: &Held) -> StartDecision {
    let engines = app.upstreams.of(&held.spec.service);
    let names = engines.iter().map(|vm| &*vm.name);
    let floor = held.floor.load(Ordering::Relaxed);
    app.served.lock().start_decision(names, floor, app.clock.now())
}

/// One try at a sample; none if its label is not certain.
async fn sample(
    app: &App,
    held: &Held,
    slot: Slot,
    prompt: GroupSpec,
    attempt: u32,
    progress: &mut Progress,
) -> Result<Option<Sample>, Refusal> {
    let dispatcher = app.dispatcher(&held.spec.service)?;
    let name = format!("{}/{}/{}/{}", held.trainer, held.number, slot.group, slot.index);
    let request = CompletionRequest {
        model: held.spec.service.to_string(),
        max_tokens: prompt.max_tokens,
        stream: true,
        priority: held.step.lock().priority(slot),
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
    let job = Job { call, request, floor: Some(&held.floor), drag: Some(&held.drag), sink: None };
    let whole = complete(app, &dispatcher, job, progress).await?;
    Ok(labelled(slot, whole))
}

/// Only a certain label makes a sample.
fn labelled(slot: Slot, whole: Whole) -> Option<Sample> {
    let Whole { text, label, upstream, .. } = whole;
    let label = label.finish().ok()?;
    Some(Sample { index: slot.index, text, label, upstream })
}
