//! Requests a claim from the owner of its key, and reports the outcome of the call.

use std::sync::Arc;
use std::time::Duration;

use super::server;
use crate::Name;
use crate::decide::claim::{
    AttemptState, CLAIM_TIMEOUT, CachedAnswer, ClaimDecision, ClaimKey, ClaimOutcome, ClaimRequest,
    Holder, Resolution, RunnerStatus, resolve,
};
use crate::edge::peer::{NodeReply, NodeRequest, PeerError};
use crate::error::{Kind, Refusal};
use crate::node::app::App;

/// The timeout of a claim request: the longest that the owner waits, and 500 ms for the network.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(CLAIM_TIMEOUT.as_millis() as u64 + 500);
/// The timeout of a report to the owner, and of a request for the state of an attempt.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum number of claim requests for one call. Each further one is due to a change of the
/// owner or to the release of the key by another holder.
const MAX_CLAIM_REQUESTS: usize = 4;
/// The number of times that the report of an outcome is tried.
const REPORT_ATTEMPTS: u32 = 3;

/// The right to run a call once. If it is dropped before an outcome is reported, the outcome of a
/// granted claim is unknown.
#[derive(Debug)]
pub(in crate::node) struct Claim {
    app: Arc<App>,
    key: ClaimKey,
    nonce: u64,
    /// The owner of the key, to which the claim request was sent.
    owner: Name,
    /// Whether the attempt's outcome is recorded at this node.
    ended: bool,
}

/// The result of a claim request that was not refused.
#[derive(Debug)]
pub(in crate::node) enum ClaimResult {
    /// The claim is granted: run the call.
    Granted(Claim),
    /// The call ran before, with this answer.
    Answered(CachedAnswer),
}

impl Claim {
    /// Requests the claim from the owner of `key`, until there is a decision.
    pub(in crate::node) async fn acquire(
        app: &Arc<App>,
        key: ClaimKey,
        fingerprint: u64,
    ) -> Result<ClaimResult, Refusal> {
        let unavailable = |why: &str| unavailable(why, CLAIM_TIMEOUT);
        let mut owner =
            server::key_owner(app, key).ok_or_else(|| unavailable("no node owns the key"))?;
        for _ in 0..MAX_CLAIM_REQUESTS {
            let (app, nonce) = (app.clone(), rand::random());
            let mut claim = Self { app, key, nonce, owner: owner.clone(), ended: false };
            let app = &claim.app.clone();
            app.claims.attempts.lock().claim_requested(claim.nonce);
            let runner = app.settings.node.name.clone();
            let request = ClaimRequest { key, fingerprint, nonce: claim.nonce, runner };
            match claim.request(&owner, request).await {
                Ok(ClaimDecision::Granted)
                    if app.claims.attempts.lock().claim_granted(claim.nonce) =>
                {
                    return Ok(ClaimResult::Granted(claim));
                }
                Ok(ClaimDecision::Granted) => {
                    claim.not_run();
                    return Err(unavailable("the claim was granted too late"));
                }
                Ok(ClaimDecision::Held(holder)) => {
                    claim.record_not_run();
                    match resolve(&holder, runner_status(app, &holder).await) {
                        Resolution::Answer(answer) => return Ok(ClaimResult::Answered(answer)),
                        Resolution::Refuse(refusal) => return Err(refusal),
                        Resolution::Release => {
                            let outcome = ClaimOutcome::NotRun;
                            report_outcome(app, &owner, key, holder.nonce, outcome).await;
                        }
                    }
                }
                Ok(ClaimDecision::Moved(next)) => {
                    claim.record_not_run();
                    owner = next;
                }
                Ok(ClaimDecision::KeyReused) => {
                    claim.record_not_run();
                    let detail = "the key was used with another content";
                    return Err(Refusal::new(Kind::KeyReused, detail));
                }
                Ok(ClaimDecision::Unavailable(after)) => {
                    claim.record_not_run();
                    return Err(self::unavailable("the claim can't be recorded", after));
                }
                Err(why) => {
                    // The owner may still record the claim, so it is told that the call did not
                    // run.
                    claim.not_run();
                    return Err(unavailable(&why));
                }
            }
        }
        Err(unavailable("the owner or the holder of the key keeps changing"))
    }

    /// Reports that the call ran.
    pub(in crate::node) fn ran(mut self, answer: CachedAnswer) {
        self.ended = true;
        let now = self.app.clock.now();
        self.app.claims.attempts.lock().ran(self.nonce, answer, now);
        self.report(ClaimOutcome::Ran);
    }

    /// Reports that the call certainly did not run. The key can be claimed again.
    pub(in crate::node) fn not_run(mut self) {
        self.record_not_run();
        self.report(ClaimOutcome::NotRun);
    }

    /// Reports that the call may or may not have run.
    pub(in crate::node) fn unknown(mut self) {
        self.record_unknown();
        self.report(ClaimOutcome::Unknown);
    }

    async fn request(&self, owner: &Name, request: ClaimRequest) -> Result<ClaimDecision, String> {
        let app = &self.app;
        if *owner == app.settings.node.name {
            return Ok(server::decide_claim(app, request).await);
        }
        let to = app
            .members
            .peer_address(owner)
            .ok_or_else(|| format!("node {owner} owns the key, and its address is unknown here"))?;
        match app.peers.request(to, &NodeRequest::Claim(request), REQUEST_TIMEOUT).await {
            Ok(NodeReply::Decision(decision)) => Ok(decision),
            Ok(_) => Err(format!("node {owner} sent an unexpected reply to the claim request")),
            Err(e) => Err(e.to_string()),
        }
    }

    /// Records at this node that nothing of this attempt was or will be sent to an upstream.
    fn record_not_run(&mut self) {
        self.ended = true;
        self.app.claims.attempts.lock().not_run(self.nonce, self.app.clock.now());
    }

    /// Records at this node that the attempt may or may not have run.
    fn record_unknown(&mut self) {
        self.ended = true;
        self.app.claims.attempts.lock().unknown(self.nonce, self.app.clock.now());
    }

    /// Reports the outcome to the node that the claim was requested from and, if that node is no
    /// longer the owner, to the owner.
    fn report(&self, outcome: ClaimOutcome) {
        let (app, key, nonce) = (self.app.clone(), self.key, self.nonce);
        let first_owner = self.owner.clone();
        self.app.claims.calls.spawn(async move {
            for _ in 0..REPORT_ATTEMPTS {
                if report_outcome(&app, &first_owner, key, nonce, outcome).await {
                    return;
                }
                let owner = server::key_owner(&app, key).filter(|owner| *owner != first_owner);
                if let Some(owner) = owner
                    && report_outcome(&app, &owner, key, nonce, outcome).await
                {
                    return;
                }
                tokio::time::sleep(CLAIM_TIMEOUT).await;
            }
        });
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let pending = {
            let attempts = self.app.claims.attempts.lock();
            matches!(attempts.get(self.nonce), Some(AttemptState::Pending))
        };
        if pending { self.record_not_run() } else { self.record_unknown() }
    }
}

/// Reports the outcome of an attempt to a node. Returns false if that node does not record it.
async fn report_outcome(
    app: &App,
    owner: &Name,
    key: ClaimKey,
    nonce: u64,
    outcome: ClaimOutcome,
) -> bool {
    if *owner == app.settings.node.name {
        return server::record_outcome(app, key, nonce, outcome);
    }
    let Some(to) = app.members.peer_address(owner) else { return false };
    let request = NodeRequest::CallEnded { key, nonce, outcome };
    let reply = app.peers.request(to, &request, REPORT_TIMEOUT).await;
    matches!(reply, Ok(NodeReply::Recorded(true)))
}

/// Returns what the runner knows of the attempt that holds a key.
async fn runner_status(app: &App, holder: &Holder) -> RunnerStatus {
    if holder.runner == app.settings.node.name {
        return server::attempt_state(app, holder.nonce)
            .map_or(RunnerStatus::Forgotten, RunnerStatus::Known);
    }
    let Some(to) = app.members.peer_address(&holder.runner) else {
        return RunnerStatus::Unreachable;
    };
    match app.peers.request(to, &NodeRequest::Attempt(holder.nonce), REPORT_TIMEOUT).await {
        Ok(NodeReply::Attempt(Some(attempt))) => RunnerStatus::Known(attempt),
        Ok(NodeReply::Attempt(None)) => RunnerStatus::Forgotten,
        Ok(_) | Err(PeerError::Connect { .. }) => RunnerStatus::Unreachable,
        Err(_) if is_alive(app, &holder.runner) => RunnerStatus::Unresponsive,
        Err(_) => RunnerStatus::Unreachable,
    }
}

fn is_alive(app: &App, node: &Name) -> bool {
    app.members.alive(app.clock.now()).iter().any(|n| n.name == *node)
}

fn unavailable(why: &str, after: Duration) -> Refusal {
    let detail =
        format!("{why}; this request did not run, an earlier one with the same key may have run");
    Refusal::new(Kind::ClaimUnavailable, detail).with_retry_after(after)
}
