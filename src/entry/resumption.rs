//! Resuming a stream at another replica, after the last complete event.

use std::time::Duration;

use super::app::App;
use super::quarantine::RequestCheck;
use super::slots::SlotGuard;
use crate::decide::AttemptRequest;
use crate::decide::load::TextLength;
use crate::edge::replica::{CallError, ReplicaCall, Reply, Target};
use crate::{Moment, Name};

/// Timeout for the head of the response while another replica can still be tried.
const HEAD_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The delay between two attempts to resume a stream.
const RETRY_DELAY: Duration = Duration::from_millis(25);

/// What it takes to resume a stream.
pub(super) struct Resumption {
    /// The request of the client.
    pub call: ReplicaCall,
    pub client_deadline: Moment,
    /// The service of the first replica; none if that was not listed any more.
    pub service: Option<Name>,
    /// The replicas that are tried last.
    pub avoid: Vec<Name>,
    /// The attempts that are left; 0 if the route does not allow any.
    pub attempts_left: u32,
    /// The quarantine as it applies to the request.
    pub check: RequestCheck,
}

/// A replica that sends the events of a stream.
pub(super) struct Source<'a> {
    pub slot: SlotGuard<'a>,
    pub reply: Reply,
    /// When the attempt there began.
    pub started_at: Moment,
}

impl Resumption {
    /// Resumes the stream at a replica, within the attempts and the time that are left; at another
    /// one than `silent`, where the stream is still open. None if that fails, or no replica accepts
    /// the request.
    pub(super) async fn resume<'a>(
        &mut self,
        app: &'a App,
        silent: Option<&Target>,
        last_event: Option<u64>,
        allow_full: bool,
    ) -> Option<Source<'a>> {
        while self.attempts_left > 0 {
            let time = self.client_deadline.saturating_sub(app.now());
            if time.is_zero() || !self.check.may_rerun() {
                return None;
            }
            if self.check.permit(time).await.is_err() {
                return None;
            }
            let service = self.service.clone()?;
            let mut avoid = self.avoid.clone();
            avoid.extend(silent.map(|target| target.id.clone()));
            let wish = AttemptRequest {
                service: &service,
                weights: None,
                avoid: &avoid,
                length: TextLength::default(),
                apart: false,
                allow_full,
            };
            let slot = app.take_slot(&wish)?;
            if silent.is_some_and(|target| target.id == slot.target.id) {
                return None;
            }
            self.attempts_left -= 1;
            if let Some(source) = self.attempt(app, &service, slot, last_event, time).await {
                return Some(source);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        None
    }

    /// Makes one attempt at a replica, with this time left.
    async fn attempt<'a>(
        &mut self,
        app: &'a App,
        service: &Name,
        slot: SlotGuard<'a>,
        last_event: Option<u64>,
        time: Duration,
    ) -> Option<Source<'a>> {
        let mut call = self.call.clone();
        call.last_event = last_event;
        call.timeout = time;
        let started_at = app.now();
        self.check.run_sent(service, &slot.target);
        let sending = app.replicas.send(&slot.target, call);
        let limit = if self.attempts_left > 0 { HEAD_TIMEOUT.min(time) } else { time };
        match tokio::time::timeout(limit, sending).await {
            Ok(Ok(reply)) if reply.status.is_success() => {
                return Some(Source { slot, reply, started_at });
            }
            Ok(Err(CallError::Interrupted(_))) => {
                let ran = app.now().saturating_sub(started_at);
                self.check.broke(service, &slot.target, ran);
            }
            Err(_) => {
                let ran = app.now().saturating_sub(started_at);
                self.check.silent(service, &slot.target, ran);
            }
            Ok(Err(CallError::Unsent(_))) => self.check.run_unsent(),
            Ok(Ok(_) | Err(CallError::NotRun(_) | CallError::WrongInstance)) => {
                self.check.run_declined();
            }
        }
        self.avoid.push(slot.target.id.clone());
        None
    }
}
