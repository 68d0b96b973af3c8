//! Makes the samples of a step.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::active_steps::{ActiveStep, releases_steps};
use crate::decide::{
    Call, Class, FillOutcome, GroupSpec, Repeat, Sample, Slot, StartDecision, early_samples,
    max_running,
};
use crate::edge::upstream::CompletionRequest;
use crate::error::Refusal;
use crate::node::app::App;
use crate::node::completion::{Completion, CompletionJob, Progress, run_completion};

/// How long one attempt at a sample may take. After that the next attempt starts.
const SAMPLE_TIMEOUT: Duration = Duration::from_secs(420);
/// The delay before the next attempt, if the refusal of the last one names no other.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Starts samples, somewhat more than the upstreams can run at the same time. Before the trainer
/// pulls the step, only as many start as the bundle's `idle_weight` allows.
pub(super) fn start_samples(app: &Arc<App>, active: &Arc<ActiveStep>) {
    if releases_steps(app) {
        return;
    }
    let max_running = max_running(upstream_capacity(app, active));
    let slots = if active.pulled.load(Ordering::Relaxed) {
        active.step.lock().start(max_running)
    } else {
        let weight = app.bundles.current().map_or(0.0, |a| a.bundle.idle_weight);
        let mut step = active.step.lock();
        let early = early_samples(weight, step.sample_count(), step.bound());
        step.start_early(max_running, early as usize)
    };
    for slot in slots {
        let (app, active) = (app.clone(), active.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = active.cancel.cancelled() => return,
                () = fill_slot(&app, &active, slot) => {}
            }
            start_samples(&app, &active);
        });
    }
}

/// Returns the number of requests that the upstreams of the step's service run at the same time.
fn upstream_capacity(app: &App, active: &ActiveStep) -> usize {
    let Some(adopted) = app.bundles.current() else { return 0 };
    let Some(service) = adopted.bundle.services.get(&active.trainer_spec.service) else {
        return 0;
    };
    app.upstreams.of_service(&service.name).len() * service.max_concurrency as usize
}

/// Makes attempts at a sample until its slot is filled or no longer needed.
async fn fill_slot(app: &App, active: &ActiveStep, slot: Slot) {
    let mut progress = Progress::default();
    let mut attempt = 0;
    while let Some(group) = pending_group(active, slot) {
        if is_unusable(active, &progress) {
            record_discarded(app, active, slot);
            progress = Progress::default();
            attempt += 1;
        }
        if start_decision(app, active) == StartDecision::Wait {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        match make_sample(app, active, slot, group, attempt, &mut progress).await {
            Ok(sample) => {
                if sample.is_some_and(|sample| store_sample(active, slot, sample)) {
                    return;
                }
                record_discarded(app, active, slot);
                attempt += 1;
            }
            Err(refusal) => {
                tracing::debug!(
                    event = "sample_failed",
                    trainer = %active.trainer,
                    ?slot,
                    %refusal,
                );
                app.metrics.count_refusal(refusal.kind);
                tokio::time::sleep(refusal.retry_after.unwrap_or(RETRY_DELAY)).await;
            }
        }
    }
}

/// Stores a sample in its slot. Returns false if the sample is no longer fresh.
fn store_sample(active: &ActiveStep, slot: Slot, sample: Sample) -> bool {
    let outcome = active.step.lock().fill(slot, sample);
    match outcome {
        FillOutcome::Kept | FillOutcome::Late => {
            active.sample_added.notify_waiters();
            true
        }
        FillOutcome::Stale => false,
    }
}

fn record_discarded(app: &App, active: &ActiveStep, slot: Slot) {
    app.metrics.discarded_samples.inc();
    tracing::info!(event = "sample_discarded", trainer = %active.trainer, ?slot);
}

/// Returns the group of a slot, or `None` if the slot is no longer needed.
fn pending_group(active: &ActiveStep, slot: Slot) -> Option<GroupSpec> {
    let step = active.step.lock();
    if step.wanted(slot) { step.group(slot).cloned() } else { None }
}

/// Whether the output so far can't become a sample any more: a token has no version, or a version
/// is too old.
fn is_unusable(active: &ActiveStep, progress: &Progress) -> bool {
    let min_version = active.min_version.load(Ordering::Relaxed);
    progress.label.has_gap() || progress.label.oldest().is_some_and(|oldest| oldest < min_version)
}

fn start_decision(app: &App, active: &ActiveStep) -> StartDecision {
    let engines = app.upstreams.of_service(&active.trainer_spec.service);
    let names = engines.iter().map(|vm| &*vm.name);
    let min_version = active.min_version.load(Ordering::Relaxed);
    app.engine_versions.lock().start_decision(names, min_version, app.clock.now())
}

/// Makes one attempt at a sample. `None` if the label of the output is incomplete.
async fn make_sample(
    app: &App,
    active: &ActiveStep,
    slot: Slot,
    group: GroupSpec,
    attempt: u32,
    progress: &mut Progress,
) -> Result<Option<Sample>, Refusal> {
    let dispatcher = app.dispatcher(&active.trainer_spec.service)?;
    let name = format!("{}/{}/{}/{}", active.trainer, active.number, slot.group, slot.index);
    let request = CompletionRequest {
        model: active.trainer_spec.service.to_string(),
        max_tokens: group.max_tokens,
        stream: true,
        priority: active.step.lock().priority(slot),
        seed: xxh3_64(name.as_bytes()),
        request_id: format!("{name}/{attempt}"),
        prior: None,
        prompt: group.prompt,
    };
    let call = Call {
        caller: active.trainer.clone(),
        class: Class::Training,
        repeat: Repeat::Idempotent,
        cost: group.max_tokens,
        deadline: app.clock.now() + SAMPLE_TIMEOUT,
        fingerprint: xxh3_64(request.prompt.as_bytes()),
        prefix: Some(xxh3_64(request.prompt.as_bytes())),
    };
    let job = CompletionJob {
        call,
        request,
        min_version: Some(&active.min_version),
        slow_detector: Some(&active.slow_detector),
        chunk_sender: None,
    };
    let completion = run_completion(app, &dispatcher, job, progress).await?;
    Ok(labelled_sample(slot, completion))
}

/// Builds the sample of a completion. `None` if a token has no version.
fn labelled_sample(slot: Slot, completion: Completion) -> Option<Sample> {
    let Completion { text, label, upstream, .. } = completion;
    let label = label.finish().ok()?;
    Some(Sample { index: slot.index, text, label, upstream })
}
