//! What this node answers peers, and itself, about claims.

use std::time::Duration;

use crate::Name;
use crate::decide::claim::{AttemptState, ClaimDecision, ClaimKey, ClaimOutcome, ClaimRequest};
use crate::node::app::App;

/// When to ask again a node that knows no home.
const LATER: Duration = Duration::from_millis(500);

/// Answers an ask as home, or names the node that is.
pub(in crate::node) async fn verdict(app: &App, ask: ClaimRequest) -> ClaimDecision {
    let shard = app.claims.shard(ask.key);
    if !shard.is_open() {
        match home_of(app, ask.key) {
            Some(home) if home == app.settings.node.name => {}
            Some(home) => return ClaimDecision::Moved(home),
            None => return ClaimDecision::Unavailable(LATER),
        }
    }
    shard.ask(ask, app.clock.now()).await.unwrap_or(ClaimDecision::Unavailable(LATER))
}

/// Records the end of a claimed call. False if this node is not home.
pub(in crate::node) fn ended(app: &App, key: ClaimKey, nonce: u64, end: ClaimOutcome) -> bool {
    app.claims.shard(key).ended(key, nonce, end, app.clock.now())
}

/// What became of an attempt of this node.
pub(in crate::node) fn attempt(app: &App, nonce: u64) -> Option<AttemptState> {
    app.claims.attempts.lock().get(nonce).cloned()
}

/// The home of a key among the nodes that serve, as this node sees them.
pub(super) fn home_of(app: &App, key: ClaimKey) -> Option<Name> {
    app.home(&key.placement_key())
}
