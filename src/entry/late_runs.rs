//! Runs of a request whose sender no longer waits for them before it tries another replica. Their
//! replicas may answer still.
//!
//! Load pattern: all replicas of a service hang for some seconds, and go on with what they have
//! received. A request that is sent again and again meanwhile runs as often when they go on, and
//! each answer but one comes to nobody.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::{BoxFuture, FutureExt};
use futures_util::stream::FuturesUnordered;
use http::StatusCode;

use super::app::App;
use super::response_body::skip_response;
use crate::decide::failures::RequestFailure;
use crate::decide::job::Score;
use crate::edge::replica::{CallError, Reply, Target};
use crate::{Moment, Name};

/// How long an answer may come late. A machine that stands still longer counts as lost.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a run may still be answered once its replica answers other requests: a replica that goes
/// on works on all that it has received.
const ANSWER_GRACE: Duration = Duration::from_secs(1);
/// How often that is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A call that has been sent, until the head of its response.
pub(super) type SentCall = BoxFuture<'static, Result<Reply, CallError>>;

/// A call without a response in time.
pub(super) struct LateCall {
    /// The service of the replica.
    pub service: Name,
    /// The replica.
    pub target: Target,
    /// When it was sent.
    pub sent_at: Moment,
    pub call: SentCall,
}

/// How a late run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum LateEnd {
    /// The replica answered with success, and with this signature.
    Succeeded(Option<Score>),
    /// The replica answered that the request failed.
    Failed(RequestFailure),
    /// The replica did not run the request.
    NotRun,
    /// No answer will come.
    Lost,
    /// The replica has crashed.
    Crashed,
}

/// The late runs of one request.
#[derive(Debug, Default)]
pub(super) struct LateRuns {
    runs: FuturesUnordered<BoxFuture<'static, LateEnd>>,
}

impl LateRuns {
    /// Adds a run whose response is read to its end.
    pub(super) fn add(&mut self, app: &Arc<App>, late: LateCall) {
        self.add_run(app, late, true);
    }

    /// Adds a run of which only the status is of use.
    pub(super) fn add_for_status(&mut self, app: &Arc<App>, late: LateCall) {
        self.add_run(app, late, false);
    }

    /// Adds a run, or cuts it off if its replica has answered other requests meanwhile: only this
    /// one hangs there, and would hold its slot.
    fn add_run(&mut self, app: &Arc<App>, late: LateCall, whole: bool) {
        let now = app.now();
        let waited = now.saturating_sub(late.sent_at);
        let last = app.slots.fleet.lock().last_answer(&late.target.id);
        if last.is_some_and(|last| now.saturating_sub(last) > waited / 2) {
            self.runs.push(late_run(app.clone(), late, whole).boxed());
        }
    }

    /// The number of runs that have not ended.
    pub(super) fn len(&self) -> usize {
        self.runs.len()
    }

    /// Waits for the next end of a run, at most for this time; all of it if no run is open.
    pub(super) async fn next_within(&mut self, time: Duration) -> Option<LateEnd> {
        if self.runs.is_empty() {
            tokio::time::sleep(time).await;
            return None;
        }
        tokio::time::timeout(time, self.runs.next()).await.ok().flatten()
    }
}

/// Waits for the end of a run that is late from now on.
async fn late_run(app: Arc<App>, late: LateCall, whole: bool) -> LateEnd {
    let LateCall { service, target, sent_at, call } = late;
    // Its entry may be gone by the time at which the run ends.
    let run = app.quarantine.lost_run(&service, &target, app.now().saturating_sub(sent_at));
    let end = tokio::select! {
        biased;
        end = read_answer(call, whole) => end,
        () = overtaken(&app, &target.id) => LateEnd::Lost,
        () = tokio::time::sleep(LATE_ANSWER_TIMEOUT) => LateEnd::Lost,
    };
    match end {
        LateEnd::Lost if app.quarantine.has_crashed(&run).await => LateEnd::Crashed,
        end => end,
    }
}

/// Waits until a replica is no longer listed, or has answered other requests for a while.
async fn overtaken(app: &App, replica: &str) {
    let late_since = app.now();
    let mut answers_since = None;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let last = app.slots.fleet.lock().last_answer(replica);
        let Some(last) = last else { return };
        if last > late_since {
            let since = *answers_since.get_or_insert(last);
            if app.now().saturating_sub(since) >= ANSWER_GRACE {
                return;
            }
        }
    }
}

/// Reads the answer to a call, to its end or only its status.
async fn read_answer(sent: SentCall, whole: bool) -> LateEnd {
    let reply = match sent.await {
        Ok(reply) => reply,
        Err(failure) if failure.not_run() => return LateEnd::NotRun,
        Err(_) => return LateEnd::Lost,
    };
    let (status, signature) = (reply.status, reply.signature);
    if whole && skip_response(reply.body).await.is_err() {
        return LateEnd::Lost;
    }
    match status {
        StatusCode::UNPROCESSABLE_ENTITY => LateEnd::Failed(RequestFailure::Rejected),
        StatusCode::INTERNAL_SERVER_ERROR => LateEnd::Failed(RequestFailure::Failed),
        status if status.is_success() => LateEnd::Succeeded(signature),
        _ => LateEnd::Lost,
    }
}
