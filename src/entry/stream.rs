//! Forwarding a stream of events to a client. If the replica fails, the stream resumes at
//! another one after the last complete event, if its route allows that. A replica that sends nothing
//! is waited for, also while another one is asked.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::BoxStream;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use super::app::App;
use super::relay::RequestState;
use super::resumption::{Resumption, Source};
use super::service_times::ResponseKind;
use super::slots::SlotGuard;
use crate::Moment;
use crate::decide::job::EventReader;
use crate::decide::{ReplicaOutcome, RetryPolicy, SilenceDecision, SilentStream};
use crate::edge::replica::{BodyStream, Reply, Target};

/// How long a replica sends nothing of a stream before something is decided, each time anew. An event
/// takes 35 ms usually, and four times that at a slow replica.
const SILENCE_INTERVAL: Duration = Duration::from_millis(1_200);
/// Clients wait at least this long for an event.
const MIN_CLIENT_PATIENCE: Duration = Duration::from_secs(2);
/// How often the arrival of an event is recorded.
const RECORD_INTERVAL: Duration = Duration::from_millis(250);
/// Number of events that are buffered for a client that reads slowly.
const MAX_BUFFERED_EVENTS: usize = 16;
/// The state of a forwarded stream.
struct StreamForwarder {
    app: Arc<App>,
    resumption: Resumption,
    /// The id of the last event that was forwarded, or that the client had already.
    last_event: Option<u64>,
    /// The weight version of the last event.
    version: Option<u64>,
    /// When the request arrived.
    started_at: Moment,
    /// The earlier of the client's deadline and the route's timeout.
    overdue_at: Moment,
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
enum PartEnd<'a> {
    /// The stream is complete.
    Complete,
    /// The replica failed.
    Interrupted,
    /// The stream goes on at another replica, as this one sent nothing.
    Replaced(Box<Source<'a>>),
    /// The replica sent nothing until the stream was overdue.
    Overdue,
    /// The client has closed its connection.
    ClientLeft,
}

/// What comes next from a replica.
enum Next<'a> {
    /// A piece of the body, or its end.
    Piece(Option<Result<Bytes, String>>),
    /// The end of the part.
    End(PartEnd<'a>),
}

/// Forwards a stream. The result ends in an error if the stream can't be completed.
pub(super) fn forward(
    app: Arc<App>,
    state: &mut RequestState,
    target: Target,
    reply: Reply,
) -> BodyStream {
    let service = app.slots.fleet.lock().get(&target.id).map(|l| l.service.clone());
    let attempts_left = match state.route.retry_policy {
        RetryPolicy::Resume => state.max_attempts.saturating_sub(state.attempts),
        RetryPolicy::Rerun | RetryPolicy::Never => 0,
    };
    let resumption = Resumption {
        call: state.call(app.now()),
        client_deadline: state.client_deadline,
        service,
        avoid: state.avoid.clone(),
        attempts_left,
        check: state.check.fork(),
    };
    let forward = StreamForwarder {
        resumption,
        last_event: state.request.resume_after,
        version: reply.version,
        started_at: state.started_at,
        overdue_at: state.response_deadline,
        app: app.clone(),
    };
    app.slots.fleet.lock().start_attempt(&target.id, app.now());
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_EVENTS);
    // The task ends when the client leaves: the next send fails once the receiver is dropped,
    // and the selects in `next_piece` notice that between events.
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
        let slot = SlotGuard::started(&app, target);
        let mut next = Some(Source { slot, reply, started_at: self.started_at });
        while let Some(Source { mut slot, reply, started_at }) = next.take() {
            let forwarded_from = app.now();
            let end = self.forward_part(&app, reply, &slot.target, &to).await;
            let ran = app.now().saturating_sub(started_at);
            match end {
                PartEnd::Complete => {
                    let duration = app.now().saturating_sub(forwarded_from);
                    slot.set_end(ReplicaOutcome::Answered { duration, cost: 1 });
                    drop(slot);
                    self.record_completion();
                    let _ = to.send(Piece::End).await;
                    return;
                }
                // The run is still in flight.
                PartEnd::ClientLeft => return,
                PartEnd::Interrupted => {
                    slot.set_end(ReplicaOutcome::Failed);
                    if let Some(service) = &self.resumption.service {
                        self.resumption.check.broke(service, &slot.target, ran);
                    }
                    self.resumption.avoid.push(slot.target.id.clone());
                    tracing::info!(event = "stream_interrupted", request = %self.resumption.call.id, replica = %slot.target.id, last = self.last_event);
                    drop(slot);
                    next = tokio::select! {
                        () = to.closed() => return,
                        source = self.resumption.resume(&app, None, self.last_event, true) => source,
                    };
                }
                PartEnd::Replaced(source) => {
                    self.record_silent_run(&slot.target, ran);
                    self.resumption.avoid.push(slot.target.id.clone());
                    tracing::info!(event = "stream_resumed", request = %self.resumption.call.id, from = %slot.target.id, to = %source.slot.target.id, last = self.last_event);
                    next = Some(*source);
                }
                PartEnd::Overdue => self.record_silent_run(&slot.target, ran),
            }
        }
        self.resumption.check.notify_peers().await;
        tracing::info!(event = "stream_aborted", request = %self.resumption.call.id, last = self.last_event);
        let _ = to.send(Piece::Aborted("the stream was interrupted")).await;
    }

    /// Records that the stream is complete.
    fn record_completion(&mut self) {
        self.resumption.check.succeeded();
        if let Some(service) = &self.resumption.service {
            let time = self.app.now().saturating_sub(self.started_at);
            self.app.service_times.record(service, ResponseKind::Stream, time);
        }
    }

    /// Records that the run at a replica was given up after this time, as nothing came from it.
    fn record_silent_run(&mut self, target: &Target, ran: Duration) {
        if let Some(service) = &self.resumption.service {
            self.resumption.check.silent(service, target, ran);
        }
    }

    /// Waits for the next piece from a replica. While it sends nothing, the stream may be requested
    /// elsewhere as well; the replica that sends first is the one that is read from then on.
    async fn next_piece<'a>(
        &mut self,
        app: &'a App,
        body: &mut BodyStream,
        target: &Target,
        to: &mpsc::Sender<Piece>,
    ) -> Next<'a> {
        let silent_since = app.now();
        let mut counted = false;
        loop {
            tokio::select! {
                () = to.closed() => return Next::End(PartEnd::ClientLeft),
                piece = body.next() => return Next::Piece(piece),
                () = tokio::time::sleep(SILENCE_INTERVAL) => {}
            }
            let now = app.now();
            let age = now.saturating_sub(silent_since);
            let replica_answers = app.slots.fleet.lock().record_silence(&target.id, !counted, now);
            counted = true;
            let silent = SilentStream {
                may_resume: self.resumption.attempts_left > 0,
                replica_answers,
                is_overdue: now >= self.overdue_at && age >= MIN_CLIENT_PATIENCE,
            };
            let decision = silent.decide();
            tracing::info!(event = "stream_silent", request = %self.resumption.call.id, replica = %target.id, age_ms = age.as_millis() as u64, replica_answers, ?decision);
            let allow_full = match decision {
                SilenceDecision::Wait => continue,
                SilenceDecision::End => return Next::End(PartEnd::Overdue),
                SilenceDecision::Resume { allow_full } => allow_full,
            };
            tokio::select! {
                () = to.closed() => return Next::End(PartEnd::ClientLeft),
                piece = body.next() => return Next::Piece(piece),
                source = self.resumption.resume(app, Some(target), self.last_event, allow_full) => {
                    match source {
                        Some(source) => return Next::End(PartEnd::Replaced(Box::new(source))),
                        None if silent.is_overdue => return Next::End(PartEnd::Overdue),
                        None => {}
                    }
                }
            }
        }
    }

    /// Forwards the events of one response. If the weight version changes with the response and
    /// its first event does not state it, a line with the version is inserted before that event.
    async fn forward_part<'a>(
        &mut self,
        app: &'a App,
        reply: Reply,
        target: &Target,
        to: &mpsc::Sender<Piece>,
    ) -> PartEnd<'a> {
        let field = app.replicas.version_field();
        let mut reader = EventReader::new(field);
        let mut body = reply.body;
        let mut changed = (reply.version != self.version).then_some(reply.version).flatten();
        let mut recorded_at = app.now();
        self.version = reply.version;
        loop {
            let piece = match self.next_piece(app, &mut body, target, to).await {
                Next::Piece(piece) => piece,
                Next::End(end) => return end,
            };
            let bytes = match piece {
                Some(Err(_)) => return PartEnd::Interrupted,
                None if reader.unfinished() => return PartEnd::Interrupted,
                None => return PartEnd::Complete,
                Some(Ok(bytes)) => bytes,
            };
            if app.now().saturating_sub(recorded_at) >= RECORD_INTERVAL {
                recorded_at = app.now();
                app.slots.fleet.lock().record_event(&target.id, recorded_at);
            }
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
                if app.memory.is_full() && to.reserve_many(MAX_BUFFERED_EVENTS).await.is_err() {
                    return PartEnd::ClientLeft;
                }
                let raw = app.memory.hold(event.raw);
                if to.send(Piece::Bytes(raw)).await.is_err() {
                    return PartEnd::ClientLeft;
                }
            }
        }
    }
}
