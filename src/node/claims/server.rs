//! Answers requests about claims, from peers and from this node itself.

use std::time::Duration;

use crate::Name;
use crate::decide::claim::{AttemptState, ClaimDecision, ClaimKey, ClaimOutcome, ClaimRequest};
use crate::node::app::App;

/// How long the requester waits before it asks again a node that knows no owner or is stopping.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Decides a claim request as the owner of the key, or names the owner.
pub(in crate::node) async fn decide_claim(app: &App, request: ClaimRequest) -> ClaimDecision {
    let partition = app.claims.partition_of(request.key);
    if !partition.is_open() {
        match key_owner(app, request.key) {
            Some(owner) if owner == app.settings.node.name => {}
            Some(owner) => return ClaimDecision::Moved(owner),
            None => return ClaimDecision::Unavailable(RETRY_DELAY),
        }
    }
    let decision = partition.request(request, app.clock.now()).await;
    decision.unwrap_or(ClaimDecision::Unavailable(RETRY_DELAY))
}

/// Records the outcome of a claimed call. Returns false if this node does not own the key.
pub(in crate::node) fn record_outcome(
    app: &App,
    key: ClaimKey,
    nonce: u64,
    outcome: ClaimOutcome,
) -> bool {
    app.claims.partition_of(key).record_outcome(key, nonce, outcome, app.clock.now())
}

/// Returns the state of an attempt of this node.
pub(in crate::node) fn attempt_state(app: &App, nonce: u64) -> Option<AttemptState> {
    app.claims.attempts.lock().get(nonce).cloned()
}

/// Returns the owner of a key among the nodes that serve, as far as this node knows them.
pub(super) fn key_owner(app: &App, key: ClaimKey) -> Option<Name> {
    app.key_owner(&key.placement_key())
}
