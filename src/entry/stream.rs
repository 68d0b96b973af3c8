//! Forwarding a stream of events to a client. If the replica fails, the stream resumes at
//! another one after the last complete event, if its route allows that.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::BoxStream;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use super::app::App;
use super::quarantine::RequestCheck;
use super::relay::RequestState;
use super::service_times::ResponseKind;
use super::slots::SlotGuard;
use crate::decide::job::EventReader;
use crate::decide::load::TextLength;
use crate::decide::{AttemptRequest, ReplicaOutcome, RetryPolicy};
use crate::edge::replica::{BodyStream, CallError, ReplicaCall, Reply, Target};
use crate::{Moment, Name};

/// Timeout for the next event, and for the head of the response when a stream is resumed.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Number of events that are buffered for a client that reads slowly.
const MAX_BUFFERED_EVENTS: usize = 16;
/// The delay between two attempts to resume a stream.
const RETRY_DELAY: Duration = Duration::from_millis(25);

/// The state of a forwarded stream.
struct StreamForwarder {
    app: Arc<App>,
    call: ReplicaCall,
    client_deadline: Moment,
    service: Option<Name>,
    avoid: Vec<Name>,
    resume: bool,
    attempts_left: u32,
    /// The id of the last event that was forwarded, or that the client had already.
    last_event: Option<u64>,
    /// The weight version of the last event.
    version: Option<u64>,
    /// The quarantine as it applies to the request.
    check: RequestCheck,
    /// When the request arrived.
    started_at: Moment,
    /// When the current attempt began, or the request with its first one.
    attempt_started_at: Moment,
}

/// What the client gets next.
enum Piece {
    /// These bytes.
    Bytes(Bytes),
    /// The end of a complete stream.
    End,
    /// The end of an incomplete stream, for this reason.
    Aborted(&'static str),
}

/// How the part of a stream that one replica sent ended.
enum PartEnd {
    /// The stream is complete.
    Complete,
    /// The replica failed.
    Interrupted,
    /// The client has closed its connection.
    ClientLeft,
}

/// Forwards a stream. The result ends in an error if the stream can't be completed.
pub(super) fn forward(
    app: Arc<App>,
    state: &mut RequestState,
    target: Target,
    reply: Reply,
) -> BodyStream {
    let service = app.slots.fleet.lock().get(&target.id).map(|l| l.service.clone());
    let forward = StreamForwarder {
        call: state.call(app.now()),
        client_deadline: state.client_deadline,
        service,
        avoid: state.avoid.clone(),
        resume: state.route.retry_policy == RetryPolicy::Resume,
        attempts_left: state.max_attempts.saturating_sub(state.attempts),
        last_event: state.request.resume_after,
        version: reply.version,
        check: state.check.fork(),
        started_at: state.started_at,
        attempt_started_at: state.started_at,
        app: app.clone(),
    };
    app.slots.fleet.lock().start_attempt(&target.id, app.now());
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_EVENTS);
    // The task ends when the client leaves: the next send fails once the receiver is dropped,
    // and the select in `forward_part` notices that between events.
    app.spawn(forward.run(target, reply, sender));
    until_end_marker(ReceiverStream::new(receiver).boxed())
}

/// Returns the pieces up to the end marker. Without one, the last item is an error: the task that
/// forwards the stream was dropped, and the response must not look complete.
fn until_end_marker(pieces: BoxStream<'static, Piece>) -> BodyStream {
    let without_end = futures_util::stream::once(async { Piece::Aborted("the node has stopped") });
    let pieces = pieces.chain(without_end).scan(false, |ended, piece| {
        let item = match piece {
            Piece::Bytes(bytes) if !*ended => Some(Ok(bytes)),
            Piece::Aborted(reason) if !*ended => {
                *ended = true;
                Some(Err(reason.to_owned()))
            }
            Piece::Bytes(_) | Piece::Aborted(_) | Piece::End => None,
        };
        std::future::ready(item)
    });
    pieces.boxed()
}

impl StreamForwarder {
    /// Forwards the parts of the stream until it is complete or can't be resumed, or until the
    /// client leaves.
    async fn run(mut self, target: Target, reply: Reply, to: mpsc::Sender<Piece>) {
        let app = self.app.clone();
        let mut slot = Some(SlotGuard::started(&app, target));
        let mut reply = Some(reply);
        loop {
            let (Some(current), Some(body)) = (slot.as_mut(), reply.take()) else { break };
            let started_at = app.now();
            match self.forward_part(body, &to).await {
                PartEnd::Complete => {
                    let took = app.now().saturating_sub(started_at);
                    current.set_end(ReplicaOutcome::Answered { duration: took, cost: 1 });
                    self.check.succeeded();
                    if let Some(service) = &self.service {
                        let time = app.now().saturating_sub(self.started_at);
                        app.service_times.record(service, ResponseKind::Stream, time);
                    }
                    drop(slot.take());
                    let _ = to.send(Piece::End).await;
                    return;
                }
                // The run is still in flight.
                PartEnd::ClientLeft => return,
                PartEnd::Interrupted => current.set_end(ReplicaOutcome::Failed),
            }
            if let Some(service) = &self.service {
                let ran = app.now().saturating_sub(self.attempt_started_at);
                self.check.broke(service, &current.target, ran);
            }
            self.avoid.push(current.target.id.clone());
            drop(slot.take());
            tracing::info!(event = "stream_interrupted", request = %self.call.id, last = self.last_event);
            (slot, reply) = self.resume_elsewhere(&app).await;
        }
        self.check.notify_peers().await;
        tracing::info!(event = "stream_aborted", request = %self.call.id, last = self.last_event);
        let _ = to.send(Piece::Aborted("the stream was interrupted")).await;
    }

    /// Resumes the stream at another replica, within the attempts and the time that are left.
    async fn resume_elsewhere<'a>(
        &mut self,
        app: &'a App,
    ) -> (Option<SlotGuard<'a>>, Option<Reply>) {
        while self.resume && self.attempts_left > 0 {
            self.attempts_left -= 1;
            let time = self.client_deadline.saturating_sub(app.now());
            if time.is_zero() || !self.check.may_rerun() {
                break;
            }
            if self.check.permit(time).await.is_err() {
                break;
            }
            let Some(service) = self.service.clone() else { break };
            let wish = AttemptRequest {
                service: &service,
                weights: None,
                avoid: &self.avoid,
                length: TextLength::default(),
                apart: false,
                allow_full: true,
            };
            let Some(slot) = app.take_slot(&wish) else { break };
            let mut call = self.call.clone();
            call.last_event = self.last_event;
            call.timeout = time;
            self.attempt_started_at = app.now();
            self.check.run_sent(&service, &slot.target);
            let sending = app.replicas.send(&slot.target, call);
            match tokio::time::timeout(EVENT_TIMEOUT, sending).await {
                Ok(Ok(reply)) if reply.status.is_success() => return (Some(slot), Some(reply)),
                Ok(Err(CallError::Interrupted(_))) => {
                    let ran = app.now().saturating_sub(self.attempt_started_at);
                    self.check.broke(&service, &slot.target, ran);
                }
                Err(_) => {
                    let ran = app.now().saturating_sub(self.attempt_started_at);
                    self.check.silent(&service, &slot.target, ran);
                }
                Ok(Err(CallError::Unsent(_))) => self.check.run_unsent(),
                Ok(Ok(_) | Err(CallError::NotRun(_) | CallError::WrongInstance)) => {
                    self.check.run_declined();
                }
            }
            self.avoid.push(slot.target.id.clone());
            tokio::time::sleep(RETRY_DELAY).await;
        }
        (None, None)
    }

    /// Forwards the events of one response. If the weight version changes with the response and
    /// its first event does not state it, a line with the version is inserted before that event.
    async fn forward_part(&mut self, reply: Reply, to: &mpsc::Sender<Piece>) -> PartEnd {
        let field = self.app.replicas.version_field();
        let mut reader = EventReader::new(field);
        let mut body = reply.body;
        let mut changed = (reply.version != self.version).then_some(reply.version).flatten();
        self.version = reply.version;
        loop {
            let piece = tokio::select! {
                () = to.closed() => return PartEnd::ClientLeft,
                piece = tokio::time::timeout(EVENT_TIMEOUT, body.next()) => piece,
            };
            let bytes = match piece {
                Err(_) | Ok(Some(Err(_))) => return PartEnd::Interrupted,
                Ok(None) if reader.unfinished() => return PartEnd::Interrupted,
                Ok(None) => return PartEnd::Complete,
                Ok(Some(Ok(bytes))) => bytes,
            };
            let Ok(events) = reader.push(&bytes) else { return PartEnd::Interrupted };
            for event in events {
                if self.last_event.is_some_and(|last| event.id != last + 1) {
                    return PartEnd::Interrupted;
                }
                self.last_event = Some(event.id);
                let stated = event.version.is_some();
                self.version = event.version.or(self.version);
                if let Some(version) = changed.take().filter(|_| !stated) {
                    let line = Bytes::from(format!("{field}: {version}\n"));
                    if to.send(Piece::Bytes(line)).await.is_err() {
                        return PartEnd::ClientLeft;
                    }
                }
                // If memory is short, nothing is buffered for a client that reads slowly.
                if self.app.memory.is_full() && to.reserve_many(MAX_BUFFERED_EVENTS).await.is_err()
                {
                    return PartEnd::ClientLeft;
                }
                let raw = self.app.memory.hold(event.raw);
                if to.send(Piece::Bytes(raw)).await.is_err() {
                    return PartEnd::ClientLeft;
                }
            }
        }
    }
}
