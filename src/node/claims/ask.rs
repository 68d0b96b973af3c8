//! A node asks for a claim, and tells how the call ended.

use std::sync::Arc;
use std::time::Duration;

use super::serve;
use crate::Name;
use crate::decide::claim::{
    AttemptState, CLAIM_TIMEOUT, CachedAnswer, ClaimDecision, ClaimKey, ClaimOutcome, ClaimRequest,
    Holder, Resolution, RunnerStatus, resolve,
};
use crate::edge::peer::{NodeReply, NodeRequest, PeerError};
use crate::error::{Kind, Refusal};
use crate::node::app::App;

/// How long a home may take: its own longest wait, and the way.
const LIMIT: Duration = Duration::from_millis(CLAIM_TIMEOUT.as_millis() as u64 + 500);
/// How long a runner may take to say what became of an attempt.
const WORD: Duration = Duration::from_millis(500);
/// Nodes that are asked in turn while the home moves, or a holder frees the key.
const HOPS: usize = 4;
/// Tries to tell a home of an end.
const TELLS: u32 = 3;

/// The right to run a call once. Dropped before an end is told, the outcome is unknown.
#[derive(Debug)]
pub(in crate::node) struct Claim {
    app: Arc<App>,
    key: ClaimKey,
    nonce: u64,
    /// The node that was asked.
    home: Name,
    over: bool,
}

/// How an ask for a claim ended well.
#[derive(Debug)]
pub(in crate::node) enum Claimed {
    /// Run the call.
    Mine(Claim),
    /// It ran before; this is its answer.
    Answered(CachedAnswer),
}

impl Claim {
    /// Asks the home of `key` until there is a verdict.
    pub(in crate::node) async fn take(
        app: &Arc<App>,
        key: ClaimKey,
        fingerprint: u64,
    ) -> Result<Claimed, Refusal> {
        let unavailable = |why: &str| unavailable(why, CLAIM_TIMEOUT);
        let mut home = serve::home_of(app, key).ok_or_else(|| unavailable("no node is home"))?;
        for _ in 0..HOPS {
            let (app, nonce) = (app.clone(), rand::random());
            let mut claim = Self { app, key, nonce, home: home.clone(), over: false };
            let app = &claim.app.clone();
            app.claims.attempts.lock().claim_requested(claim.nonce);
            let runner = app.settings.node.name.clone();
            let ask = ClaimRequest { key, fingerprint, nonce: claim.nonce, runner };
            match claim.ask(&home, ask).await {
                Ok(ClaimDecision::Granted)
                    if app.claims.attempts.lock().claim_granted(claim.nonce) =>
                {
                    return Ok(Claimed::Mine(claim));
                }
                Ok(ClaimDecision::Granted) => {
                    claim.not_run();
                    return Err(unavailable("the claim came too late"));
                }
                Ok(ClaimDecision::Held(holder)) => {
                    claim.give_up();
                    match resolve(&holder, word(app, &holder).await) {
                        Resolution::Answer(kept) => return Ok(Claimed::Answered(kept)),
                        Resolution::Refuse(refusal) => return Err(refusal),
                        Resolution::Release => {
                            tell(app, &home, key, holder.nonce, ClaimOutcome::NotRun).await;
                        }
                    }
                }
                Ok(ClaimDecision::Moved(next)) => {
                    claim.give_up();
                    home = next;
                }
                Ok(ClaimDecision::KeyReused) => {
                    claim.give_up();
                    return Err(Refusal::new(Kind::KeyReused, "the content differs"));
                }
                Ok(ClaimDecision::Unavailable(after)) => {
                    claim.give_up();
                    return Err(self::unavailable("the claim can't be recorded", after));
                }
                Err(why) => {
                    // The home may record the claim yet: it is told that nothing ran.
                    claim.not_run();
                    return Err(unavailable(&why));
                }
            }
        }
        Err(unavailable("the home of the key changes"))
    }

    /// The call ran.
    pub(in crate::node) fn ran(mut self, answer: CachedAnswer) {
        self.over = true;
        let now = self.app.clock.now();
        self.app.claims.attempts.lock().ran(self.nonce, answer, now);
        self.report(ClaimOutcome::Ran);
    }

    /// The call certainly did not run: the key can be claimed again.
    pub(in crate::node) fn not_run(mut self) {
        self.give_up();
        self.report(ClaimOutcome::NotRun);
    }

    /// The call may or may not have run.
    pub(in crate::node) fn unknown(mut self) {
        self.lose();
        self.report(ClaimOutcome::Unknown);
    }

    async fn ask(&self, home: &Name, ask: ClaimRequest) -> Result<ClaimDecision, String> {
        let app = &self.app;
        if *home == app.settings.node.name {
            return Ok(serve::verdict(app, ask).await);
        }
        let to = app
            .members
            .address(home)
            .ok_or_else(|| format!("{home} is home and not known here"))?;
        match app.peers.request(to, &NodeRequest::Claim(ask), LIMIT).await {
            Ok(NodeReply::Decision(verdict)) => Ok(verdict),
            Ok(_) => Err(format!("{home} did not understand")),
            Err(e) => Err(e.to_string()),
        }
    }

    /// Nothing of this attempt was or will be sent to an upstream.
    fn give_up(&mut self) {
        self.over = true;
        self.app.claims.attempts.lock().not_run(self.nonce, self.app.clock.now());
    }

    fn lose(&mut self) {
        self.over = true;
        self.app.claims.attempts.lock().unknown(self.nonce, self.app.clock.now());
    }

    /// Tells the node that granted the claim, and if it is home no more, the one that is.
    fn report(&self, end: ClaimOutcome) {
        let (app, key, nonce) = (self.app.clone(), self.key, self.nonce);
        let granted = self.home.clone();
        self.app.claims.calls.spawn(async move {
            for _ in 0..TELLS {
                if tell(&app, &granted, key, nonce, end).await {
                    return;
                }
                let home = serve::home_of(&app, key).filter(|home| *home != granted);
                if let Some(home) = home
                    && tell(&app, &home, key, nonce, end).await
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
        if self.over {
            return;
        }
        let pending = {
            let attempts = self.app.claims.attempts.lock();
            matches!(attempts.get(self.nonce), Some(AttemptState::Pending))
        };
        if pending { self.give_up() } else { self.lose() }
    }
}

/// Tells the home how an attempt ended. False if it does not record that.
async fn tell(app: &App, home: &Name, key: ClaimKey, nonce: u64, end: ClaimOutcome) -> bool {
    if *home == app.settings.node.name {
        return serve::ended(app, key, nonce, end);
    }
    let Some(to) = app.members.address(home) else { return false };
    let told =
        app.peers.request(to, &NodeRequest::CallEnded { key, nonce, outcome: end }, WORD).await;
    matches!(told, Ok(NodeReply::Recorded(true)))
}

/// What the runner says of the attempt that holds a key.
async fn word(app: &App, holder: &Holder) -> RunnerStatus {
    if holder.runner == app.settings.node.name {
        return serve::attempt(app, holder.nonce)
            .map_or(RunnerStatus::Forgotten, RunnerStatus::Known);
    }
    let Some(to) = app.members.address(&holder.runner) else { return RunnerStatus::Unreachable };
    match app.peers.request(to, &NodeRequest::Attempt(holder.nonce), WORD).await {
        Ok(NodeReply::Attempt(Some(attempt))) => RunnerStatus::Known(attempt),
        Ok(NodeReply::Attempt(None)) => RunnerStatus::Forgotten,
        Ok(_) | Err(PeerError::Connect { .. }) => RunnerStatus::Unreachable,
        Err(_) if alive(app, &holder.runner) => RunnerStatus::Unresponsive,
        Err(_) => RunnerStatus::Unreachable,
    }
}

fn alive(app: &App, node: &Name) -> bool {
    app.members.alive(app.clock.now()).iter().any(|n| n.name == *node)
}

fn unavailable(why: &str, after: Duration) -> Refusal {
    let detail = format!("{why}; this request did not run, an earlier one under the key may have");
    Refusal::new(Kind::ClaimUnavailable, detail).after(after)
}
