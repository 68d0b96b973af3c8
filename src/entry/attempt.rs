//! One attempt to generate a sample's text at one replica.

use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http::StatusCode;

use super::app::App;
use super::late_runs::SentCall;
use super::owned_jobs::{OwnedJob, SAVED_TEXT_DIVISOR};
use super::slots::SlotGuard;
use crate::Moment;
use crate::decide::job::{Event, EventReader, ItemSpec, JobSpec, StreamError, TextLimit};
use crate::decide::load::TextLength;
use crate::decide::{AttemptRequest, ReplicaOutcome, Route};
use crate::edge::replica::{BodyStream, CallError, ReplicaCall, Reply};
use crate::metrics::AttemptEnd;

/// Timeout for the head of a response. The replica had a free slot, so that it only reads the
/// prompt before, which takes some milliseconds; but a weight load takes 0.9 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for the next event. An event takes 35 ms usually, and four times that at a slow
/// replica.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Number of events over which the pace of a replica is measured, each time anew. Over fewer
/// events a weight load or the reading of a prompt would dominate.
const PACE_EVENTS: u64 = 6;

/// Events without a token that a text may have, such as one at its end.
const EXTRA_EVENTS: u64 = 2;

/// The sample that an attempt is for, and its surroundings.
#[derive(Clone, Copy)]
pub(super) struct TextAttempt<'a> {
    pub app: &'a App,
    pub owned: &'a OwnedJob,
    pub item: &'a ItemSpec,
    pub spec: &'a JobSpec,
    pub route: &'a Route,
}

/// How an attempt ended.
pub(super) enum AttemptResult {
    /// The text is complete.
    Complete,
    /// The replica ran the request and failed.
    Failed,
    /// The request is invalid and can never succeed.
    Impossible,
    /// The text is continued at another replica, for this reason.
    Continue(AttemptEnd),
    /// The replica responded with another status, or without a signature.
    OtherResponse,
    /// No response came in time.
    Silent(SentCall),
}

/// How reading the events of a replica ended.
enum ReadEnd {
    /// The text is complete.
    Complete,
    /// The stream was interrupted.
    Interrupted,
    /// No event came in time.
    Silent,
    /// Another replica would be faster.
    Slow,
}

impl TextAttempt<'_> {
    /// Makes the attempt and counts how it ended.
    pub(super) async fn attempt(
        self,
        slot: &mut SlotGuard<'_>,
        call: ReplicaCall,
    ) -> AttemptResult {
        let result = self.call_and_read(slot, call).await;
        self.app.tally.count_sample_attempt(match &result {
            AttemptResult::Complete => AttemptEnd::Answered,
            AttemptResult::Failed | AttemptResult::Impossible => AttemptEnd::Failed,
            AttemptResult::Continue(end) => *end,
            AttemptResult::OtherResponse | AttemptResult::Silent(_) => AttemptEnd::Broken,
        });
        result
    }

    async fn call_and_read(self, slot: &mut SlotGuard<'_>, call: ReplicaCall) -> AttemptResult {
        let started_at = self.app.now();
        let mut sending = self.app.replicas.send(&slot.target, call);
        let reply = match tokio::time::timeout(HEAD_TIMEOUT, &mut sending).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(failure)) => return self.failed_before_answer(slot, &failure),
            Err(_) => {
                slot.set_end(ReplicaOutcome::Failed);
                return AttemptResult::Silent(sending);
            }
        };
        self.app.record_response_head(&slot.target.id, reply.load);
        match reply.status {
            StatusCode::UNPROCESSABLE_ENTITY => return AttemptResult::Impossible,
            StatusCode::INTERNAL_SERVER_ERROR => return AttemptResult::Failed,
            status if !status.is_success() || reply.signature.is_none() => {
                slot.set_end(ReplicaOutcome::Failed);
                return AttemptResult::OtherResponse;
            }
            _ => {}
        }
        let before = self.last_event();
        let read = self.read_events(slot, reply).await;
        let took = self.app.now().saturating_sub(started_at);
        let cost = self.last_event().saturating_sub(before).max(1) as u32;
        let answered = ReplicaOutcome::Answered { duration: took, cost };
        match read {
            Ok(ReadEnd::Complete) => {
                slot.set_end(answered);
                AttemptResult::Complete
            }
            Ok(ReadEnd::Slow) => {
                slot.set_end(answered);
                AttemptResult::Continue(AttemptEnd::Slow)
            }
            Ok(ReadEnd::Interrupted) => {
                slot.set_end(ReplicaOutcome::Failed);
                AttemptResult::Continue(AttemptEnd::Broken)
            }
            Ok(ReadEnd::Silent) => {
                slot.set_end(ReplicaOutcome::Failed);
                AttemptResult::Continue(AttemptEnd::Broken)
            }
            Err(StreamError::DisallowedVersion(version)) if version < self.spec.min_version => {
                // The event was not added to the text; the events before it stay.
                self.note_older_version(slot, version);
                AttemptResult::Continue(AttemptEnd::Fault)
            }
            Err(fault) => {
                if matches!(fault, StreamError::TooLong(_)) {
                    slot.set_end(ReplicaOutcome::Failed);
                }
                let replica = &slot.target.id;
                tracing::info!(event = "text_restarted", item = %self.item.id, %replica, %fault);
                self.owned.with_text(&self.item.id, |text| text.restart());
                AttemptResult::Continue(AttemptEnd::Fault)
            }
        }
    }

    /// Records a call that failed before the head of the response.
    fn failed_before_answer(self, slot: &mut SlotGuard<'_>, failure: &CallError) -> AttemptResult {
        let (ended, end) = match failure {
            CallError::Unsent(_) => (ReplicaOutcome::Unreachable, AttemptEnd::Unsent),
            CallError::NotRun(_) if self.spec.model.is_some() => {
                (ReplicaOutcome::Loading, AttemptEnd::NotRun)
            }
            CallError::NotRun(_) => (ReplicaOutcome::Full, AttemptEnd::NotRun),
            CallError::WrongInstance => (ReplicaOutcome::Unreachable, AttemptEnd::Stranger),
            CallError::Interrupted(_) => (ReplicaOutcome::Failed, AttemptEnd::Broken),
        };
        slot.set_end(ended);
        tracing::debug!(event = "attempt_failed", item = %self.item.id, %failure);
        AttemptResult::Continue(end)
    }

    /// The id of the text's last event; 0 if there is none.
    fn last_event(self) -> u64 {
        self.owned.with_text(&self.item.id, |text| text.last_event())
    }

    /// Reads events from a response and adds them to the text.
    async fn read_events(self, slot: &SlotGuard<'_>, reply: Reply) -> Result<ReadEnd, StreamError> {
        let mut reader = EventReader::new(self.app.replicas.version_field());
        let mut body = reply.body;
        self.owned.with_text(&self.item.id, |text| text.set_version(reply.version));
        let mut seen_version = None;
        let mut measure_start: Option<(Moment, u64)> = None;
        loop {
            let Some(piece) = self.next_piece(slot, &mut body).await else {
                return Ok(ReadEnd::Silent);
            };
            let piece = match piece {
                Some(Err(_)) => return Ok(ReadEnd::Interrupted),
                None if reader.unfinished() || self.last_event() == 0 => {
                    return Ok(ReadEnd::Interrupted);
                }
                None => return Ok(ReadEnd::Complete),
                Some(Ok(bytes)) => bytes,
            };
            let version = self.add_events(&reader.push(&piece)?)?;
            if version.is_some() || self.last_event() > 0 {
                // A request that brings events does not fail at every run.
                self.app.end_run(self.owned, &self.item.id, None);
            }
            if version.is_some() && seen_version != version {
                seen_version = version;
                self.note_version(slot, version);
            }
            let last = self.last_event();
            let now = self.app.now();
            let (since, first) = *measure_start.get_or_insert((now, last));
            let events = last - first;
            if events >= PACE_EVENTS {
                measure_start = Some((now, last));
                let event_seconds = now.saturating_sub(since).as_secs_f64() / events as f64;
                if self.note_pace(slot, event_seconds) {
                    return Ok(ReadEnd::Slow);
                }
            }
        }
    }

    /// Waits for the next piece of a response, or its end. None if none came in time; a replica that
    /// only pauses is waited for while no other one has room for the text.
    async fn next_piece(
        self,
        slot: &SlotGuard<'_>,
        body: &mut BodyStream,
    ) -> Option<Option<Result<Bytes, String>>> {
        let silent_since = self.app.now();
        loop {
            if let Ok(piece) = tokio::time::timeout(EVENT_TIMEOUT, body.next()).await {
                return Some(piece);
            }
            let pauses = self.pauses(slot);
            let age_ms = self.app.now().saturating_sub(silent_since).as_millis() as u64;
            tracing::info!(event = "text_silent", item = %self.item.id, replica = %slot.target.id, age_ms, pauses);
            if !pauses {
                return None;
            }
        }
    }

    /// Whether a replica that has sent nothing of the text for a while sends other responses, and no
    /// other replica has a free slot for the text.
    fn pauses(self, slot: &SlotGuard<'_>) -> bool {
        let now = self.app.now();
        let mut fleet = self.app.slots.fleet.lock();
        let current = &slot.target.id;
        let Some(service) = fleet.get(current).map(|listed| listed.service.clone()) else {
            return false;
        };
        let wish = AttemptRequest {
            service: &service,
            weights: self.spec.model.as_deref().map(|model| (model, self.spec.min_version)),
            avoid: std::slice::from_ref(current),
            length: TextLength { hint: self.item.length_hint, events: self.last_event() },
            allow_full: false,
            apart: false,
        };
        let has_room_elsewhere =
            fleet.choose(&wish, now).is_some_and(|target| target.id != *current);
        fleet.record_silence(current, false, now) && !has_room_elsewhere
    }

    /// Adds events to the text and returns the weight version that generated the last one. An
    /// event of a version that the sample does not allow is an error.
    fn add_events(self, events: &[Event]) -> Result<Option<u64>, StreamError> {
        let limit = self.text_limit();
        self.owned.with_text(&self.item.id, |text| {
            for event in events {
                let known = text.versions();
                let fits = |v| !self.route.single_version || known.iter().all(|k| *k == v);
                text.push(event, limit, |v| v >= self.spec.min_version && fits(v))?;
            }
            Ok(text.current_version().filter(|_| !events.is_empty()))
        })
    }

    /// Returns how long the text may get: an event has at least one token, and a longer text than can
    /// be saved is no answer.
    fn text_limit(self) -> TextLimit {
        let tokens = self.app.replicas.max_tokens(&self.item.headers);
        TextLimit {
            events: tokens.map(|tokens| tokens.saturating_add(EXTRA_EVENTS)),
            bytes: self.app.settings.value_bytes / SAVED_TEXT_DIVISOR,
        }
    }

    /// Records the weight version that a replica was seen to serve.
    fn note_version(self, slot: &SlotGuard<'_>, version: Option<u64>) {
        if let (Some(model), Some(version)) = (&self.spec.model, version) {
            self.app.slots.fleet.lock().raise_version(&slot.target, model, version);
        }
    }

    /// Records that a replica serves an older weight version than the sample requires. If the
    /// replica has loaded a newer one since, its next entry in the store will show that.
    fn note_older_version(self, slot: &SlotGuard<'_>, version: u64) {
        if let Some(model) = &self.spec.model {
            let replica = &slot.target.id;
            tracing::info!(event = "replica_older", %replica, %model, version);
            self.app.slots.fleet.lock().set_version(&slot.target, model, version);
        }
    }

    /// Records the seconds that an event took on average of late. True if another replica would
    /// be faster and the text should move there.
    fn note_pace(self, slot: &SlotGuard<'_>, event_seconds: f64) -> bool {
        let now = self.app.now();
        let weights = self.spec.model.as_deref().map(|model| (model, self.spec.min_version));
        let length = TextLength { hint: self.item.length_hint, events: self.last_event() };
        let mut fleet = self.app.slots.fleet.lock();
        fleet.record_event_interval(&slot.target.id, event_seconds, now);
        fleet.take_move(&slot.target.id, weights, length, event_seconds, now)
    }
}
