//! One attempt at a text at one replica.

use std::time::Duration;

use futures_util::StreamExt;
use http::StatusCode;

use super::app::App;
use super::homes::Home;
use super::slots::Held;
use crate::Moment;
use crate::decide::job::{Event, EventReader, ItemSpec, JobSpec, StreamError};
use crate::decide::{ReplicaOutcome, Route};
use crate::edge::replica::{CallError, ReplicaCall, Reply};
use crate::metrics::AttemptEnd;

/// How long the head of an answer may take. A place was free, so only the prompt is read
/// before it: some milliseconds. A load of weights takes 0.9 s.
const HEAD: Duration = Duration::from_millis(1_500);
/// How long the next event may take: 35 ms usually, four times that at a slow replica.
const GAP: Duration = Duration::from_millis(1_200);
/// Events of one run after which its pace is judged, each time anew: fewer say more of the
/// load of weights or of a prompt than of the replica.
const JUDGED: u64 = 6;

/// What an attempt is made of.
#[derive(Clone, Copy)]
pub(super) struct Run<'a> {
    pub app: &'a App,
    pub home: &'a Home,
    pub item: &'a ItemSpec,
    pub spec: &'a JobSpec,
    pub route: &'a Route,
}

/// How one attempt at a text ended.
pub(super) enum Tried {
    /// The text is whole.
    Whole,
    /// The replica ran it and failed.
    Failed,
    /// It can never be made.
    Impossible,
    /// It goes on elsewhere, for this reason.
    Again(AttemptEnd),
}

/// How the reading of one replica's events ended.
enum Read {
    /// The text is whole.
    Whole,
    /// It broke off.
    Broken,
    /// No event came in time.
    Silent,
    /// Another replica would be faster.
    Slow,
}

impl Run<'_> {
    /// Makes the attempt, and counts its end.
    pub(super) async fn attempt(self, held: &mut Held<'_>, call: ReplicaCall) -> Tried {
        let tried = self.run(held, call).await;
        self.app.tally.sample_attempt(match tried {
            Tried::Whole => AttemptEnd::Answered,
            Tried::Failed | Tried::Impossible => AttemptEnd::Failed,
            Tried::Again(end) => end,
        });
        tried
    }

    async fn run(self, held: &mut Held<'_>, call: ReplicaCall) -> Tried {
        let begun = self.app.now();
        let sending = self.app.replicas.send(&held.target, call);
        let reply = match tokio::time::timeout(HEAD, sending).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(failure)) => return self.refused(held, &failure),
            Err(_) => {
                held.ended(ReplicaOutcome::Failed);
                return Tried::Again(AttemptEnd::Broken);
            }
        };
        self.app.heard(&held.target.id, reply.load);
        match reply.status {
            StatusCode::UNPROCESSABLE_ENTITY => return Tried::Impossible,
            StatusCode::INTERNAL_SERVER_ERROR => return Tried::Failed,
            status if !status.is_success() || reply.signature.is_none() => {
                held.ended(ReplicaOutcome::Failed);
                return Tried::Again(AttemptEnd::Broken);
            }
            _ => {}
        }
        let before = self.last();
        let read = self.read(held, reply).await;
        let took = self.app.now().saturating_sub(begun);
        let cost = self.last().saturating_sub(before).max(1) as u32;
        let answered = ReplicaOutcome::Answered { duration: took, cost };
        match read {
            Ok(Read::Whole) => {
                held.ended(answered);
                Tried::Whole
            }
            Ok(Read::Slow) => {
                held.ended(answered);
                Tried::Again(AttemptEnd::Slow)
            }
            Ok(Read::Broken) => {
                held.ended(ReplicaOutcome::Failed);
                Tried::Again(AttemptEnd::Broken)
            }
            Ok(Read::Silent) => {
                held.ended(ReplicaOutcome::Failed);
                Tried::Again(AttemptEnd::Broken)
            }
            Err(StreamError::DisallowedVersion(version)) if version < self.spec.min_version => {
                // The event was not taken: what came before it stays.
                self.shown(held, version);
                Tried::Again(AttemptEnd::Fault)
            }
            Err(fault) => {
                let replica = &held.target.id;
                tracing::info!(event = "text_begun_anew", item = %self.item.id, %replica, %fault);
                self.home.text(&self.item.id, |text| text.restart());
                Tried::Again(AttemptEnd::Fault)
            }
        }
    }

    fn refused(self, held: &mut Held<'_>, failure: &CallError) -> Tried {
        let (ended, end) = match failure {
            CallError::Unsent(_) => (ReplicaOutcome::Unreachable, AttemptEnd::Unsent),
            CallError::NotRun(_) if self.spec.model.is_some() => {
                (ReplicaOutcome::Loading, AttemptEnd::NotRun)
            }
            CallError::NotRun(_) => (ReplicaOutcome::Full, AttemptEnd::NotRun),
            CallError::WrongInstance => (ReplicaOutcome::Unreachable, AttemptEnd::Stranger),
            CallError::Interrupted(_) => (ReplicaOutcome::Failed, AttemptEnd::Broken),
        };
        held.ended(ended);
        tracing::debug!(event = "attempt_failed", item = %self.item.id, %failure);
        Tried::Again(end)
    }

    fn last(self) -> u64 {
        self.home.text(&self.item.id, |text| text.last_event())
    }

    /// Reads events into the text.
    async fn read(self, held: &Held<'_>, reply: Reply) -> Result<Read, StreamError> {
        let mut reader = EventReader::new(self.app.replicas.version_field());
        let mut body = reply.body;
        self.home.text(&self.item.id, |text| text.set_version(reply.version));
        let mut seen = None;
        let mut mark: Option<(Moment, u64)> = None;
        loop {
            let piece = match tokio::time::timeout(GAP, body.next()).await {
                Err(_) => return Ok(Read::Silent),
                Ok(Some(Err(_))) => return Ok(Read::Broken),
                Ok(None) if reader.unfinished() || self.last() == 0 => return Ok(Read::Broken),
                Ok(None) => return Ok(Read::Whole),
                Ok(Some(Ok(bytes))) => bytes,
            };
            let version = self.add(&reader.push(&piece)?)?;
            if version.is_some() && seen != version {
                seen = version;
                self.saw(held, version);
            }
            let last = self.last();
            let now = self.app.now();
            let (since, from) = *mark.get_or_insert((now, last));
            let events = last - from;
            if events >= JUDGED {
                mark = Some((now, last));
                let beat = now.saturating_sub(since).as_secs_f64() / events as f64;
                if self.slow(held, beat) {
                    return Ok(Read::Slow);
                }
            }
        }
    }

    /// Adds events to the text and returns the version that made the last.
    fn add(self, events: &[Event]) -> Result<Option<u64>, StreamError> {
        self.home.text(&self.item.id, |text| {
            for event in events {
                let known = text.versions();
                let fits = |v| !self.route.single_version || known.iter().all(|k| *k == v);
                text.push(event, |v| v >= self.spec.min_version && fits(v))?;
            }
            Ok(text.current_version().filter(|_| !events.is_empty()))
        })
    }

    /// A replica was seen to have a version.
    fn saw(self, held: &Held<'_>, version: Option<u64>) {
        if let (Some(model), Some(version)) = (&self.spec.model, version) {
            self.app.slots.fleet.lock().raise_version(&held.target, model, version);
        }
    }

    /// A replica was seen to have an older version than its work asks for. A load that came
    /// meanwhile shows in its next entry.
    fn shown(self, held: &Held<'_>, version: u64) {
        if let Some(model) = &self.spec.model {
            let replica = &held.target.id;
            tracing::info!(event = "replica_older", %replica, %model, version);
            self.app.slots.fleet.lock().set_version(&held.target, model, version);
        }
    }

    /// Takes note of the time that an event took of late. True if the run is better moved.
    fn slow(self, held: &Held<'_>, beat: f64) -> bool {
        let now = self.app.now();
        let weights = self.spec.model.as_deref().map(|model| (model, self.spec.min_version));
        let mut fleet = self.app.slots.fleet.lock();
        fleet.record_event_interval(&held.target.id, beat, now);
        fleet.has_faster_replica(&held.target.id, weights, beat, now)
    }
}
