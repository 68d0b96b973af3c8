//! Returns complete groups to a trainer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;

use super::active_steps::{ActiveStep, releases_steps};
use super::messages::{PullGroupsRequest, PullGroupsResponse};
use super::sampling;
use crate::Name;
use crate::error::{Kind, Refusal};
use crate::node::app::App;

/// The maximum time that a pull waits.
const MAX_PULL_WAIT: Duration = Duration::from_secs(30);
/// How often a waiting pull checks whether the node drains.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Returns complete groups, or waits until there is one.
pub(in crate::node) async fn pull_groups(
    app: &Arc<App>,
    trainer: Name,
    number: u64,
    request: PullGroupsRequest,
) -> Result<PullGroupsResponse, Refusal> {
    let key = (trainer, number);
    let unknown =
        || Refusal::new(Kind::UnknownStep, format!("step {number} is not active at this node"));
    let active = app.steps.get(&key).ok_or_else(unknown)?;
    active.pulled.store(true, Ordering::Relaxed);
    let until = Instant::now() + Duration::from_millis(request.wait_ms).min(MAX_PULL_WAIT);
    loop {
        let sample_added = active.sample_added.notified();
        tokio::pin!(sample_added);
        sample_added.as_mut().enable();
        active.record_request();
        let response = current_response(app, &active, &request);
        if response.complete || response.draining {
            app.steps.release(&active);
        }
        let timed_out = Instant::now() >= until;
        if response.complete || response.draining || timed_out || !response.groups.is_empty() {
            let samples: usize = response.groups.iter().map(|g| g.samples.len()).sum();
            app.metrics.samples.inc_by(samples as u64);
            return Ok(response);
        }
        let next_check = (Instant::now() + DRAIN_CHECK_INTERVAL).min(until);
        tokio::select! {
            () = active.cancel.cancelled() => return Err(unknown()),
            _ = tokio::time::timeout_at(next_check, sample_added) => {}
        }
    }
}

/// Builds the response from the samples that are fresh enough for the trainer's current version.
fn current_response(
    app: &Arc<App>,
    active: &Arc<ActiveStep>,
    request: &PullGroupsRequest,
) -> PullGroupsResponse {
    let version = app.steps.newest_version(&active.trainer, request.version);
    active.acknowledge(version, &request.delivered);
    let draining = releases_steps(app);
    let step = active.step.lock();
    // A draining node returns all complete groups at once, since there is no next pull.
    let max_groups = if draining { usize::MAX } else { request.max_groups.max(1) };
    let response = PullGroupsResponse {
        groups: step.ready_groups(max_groups),
        complete: step.all_delivered(),
        staleness_bound: step.bound(),
        draining,
        partial_groups: if draining { step.partial_groups() } else { Vec::new() },
    };
    drop(step);
    if !draining {
        sampling::start_samples(app, active);
    }
    response
}
