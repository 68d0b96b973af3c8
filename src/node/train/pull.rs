//! Handing groups over to a trainer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;

use super::fill;
use super::held::{Held, leaving};
use super::message::{PullGroupsRequest, PullGroupsResponse};
use crate::Name;
use crate::error::{Kind, Refusal};
use crate::node::app::App;

/// The longest that a pull waits.
const LONGEST: Duration = Duration::from_secs(30);
/// A waiting pull looks so often whether the node leaves.
const LOOK: Duration = Duration::from_millis(250);

/// Hands over whole groups, or waits until there is one.
pub(in crate::node) async fn pull(
    app: &Arc<App>,
    trainer: Name,
    number: u64,
    pull: PullGroupsRequest,
) -> Result<PullGroupsResponse, Refusal> {
    let key = (trainer, number);
    let unknown = || Refusal::new(Kind::UnknownStep, format!("step {number} is not held here"));
    let held = app.steps.get(&key).ok_or_else(unknown)?;
    held.asked.store(true, Ordering::Relaxed);
    let until = Instant::now() + Duration::from_millis(pull.wait_ms).min(LONGEST);
    loop {
        let filled = held.filled.notified();
        tokio::pin!(filled);
        filled.as_mut().enable();
        held.touch();
        let pulled = look(app, &held, &pull);
        if pulled.complete || pulled.draining {
            app.steps.release(&held);
        }
        let over = Instant::now() >= until;
        if pulled.complete || pulled.draining || over || !pulled.groups.is_empty() {
            let samples: usize = pulled.groups.iter().map(|g| g.samples.len()).sum();
            app.metrics.samples.inc_by(samples as u64);
            return Ok(pulled);
        }
        let look = (Instant::now() + LOOK).min(until);
        tokio::select! {
            () = held.cancel.cancelled() => return Err(unknown()),
            _ = tokio::time::timeout_at(look, filled) => {}
        }
    }
}

/// Judges what is there against the trainer's present version, at this moment.
fn look(app: &Arc<App>, held: &Arc<Held>, pull: &PullGroupsRequest) -> PullGroupsResponse {
    let version = app.steps.version(&held.trainer, pull.version);
    held.acknowledge(version, &pull.delivered);
    let leaving = leaving(app);
    let step = held.step.lock();
    // What is whole goes along at once when the node leaves: there is no next pull.
    let most = if leaving { usize::MAX } else { pull.max_groups.max(1) };
    let pulled = PullGroupsResponse {
        groups: step.ready_groups(most),
        complete: step.all_delivered(),
        staleness_bound: step.bound(),
        draining: leaving,
        partial_groups: if leaving { step.partial_groups() } else { Vec::new() },
    };
    drop(step);
    if !leaving {
        fill::start(app, held);
    }
    pulled
}
