//! A client's stream of events: passed on as it comes, and taken up at another replica
//! after the last whole event where its route allows that.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use super::app::App;
use super::relay::Course;
use super::slots::Held;
use crate::decide::job::EventReader;
use crate::decide::{AttemptRequest, ReplicaOutcome, RetryPolicy};
use crate::edge::replica::{BodyStream, Reply, Target};

/// How long the next event may take before the replica counts as silent.
const GAP: Duration = Duration::from_millis(1_200);
/// Events that wait for a client that reads slowly.
const AHEAD: usize = 16;
/// The pause between attempts to go on.
const PAUSE: Duration = Duration::from_millis(25);

/// Where a stream stands.
struct Forward {
    app: Arc<App>,
    call: crate::edge::replica::ReplicaCall,
    leaves: crate::Moment,
    service: Option<crate::Name>,
    avoid: Vec<crate::Name>,
    resume: bool,
    left: u32,
    last: Option<u64>,
    version: Option<u64>,
}

/// How one replica's part of a stream ended.
enum Part {
    Whole,
    Broken,
    ClientLeft,
}

/// Passes a stream on. It ends in an error if it can't be brought to its end.
pub(super) fn forward(app: Arc<App>, course: &Course, target: Target, reply: Reply) -> BodyStream {
    let listed = app.slots.fleet.lock().get(&target.id).map(|l| l.service.clone());
    let forward = Forward {
        call: course.call(app.now()),
        leaves: course.leaves,
        service: listed,
        avoid: course.avoid.clone(),
        resume: course.route.retry_policy == RetryPolicy::Resume,
        left: course.route.max_attempts.saturating_sub(course.made),
        last: course.ask.after,
        version: reply.version,
        app: app.clone(),
    };
    app.slots.fleet.lock().start_attempt(&target.id, app.now());
    let (sender, receiver) = mpsc::channel(AHEAD);
    // The task ends with the client: a receiver that is gone fails the next send, and the
    // select below notices one that is gone between events.
    app.spawn(forward.run(target, reply, sender));
    ReceiverStream::new(receiver).boxed()
}

impl Forward {
    async fn run(mut self, target: Target, reply: Reply, to: mpsc::Sender<Result<Bytes, String>>) {
        let app = self.app.clone();
        let mut held = Some(Held::began(&app, target));
        let mut reply = Some(reply);
        loop {
            let (Some(place), Some(body)) = (held.as_mut(), reply.take()) else { break };
            let began = app.now();
            match self.part(body, &to).await {
                Part::Whole => {
                    let took = app.now().saturating_sub(began);
                    place.ended(ReplicaOutcome::Answered { duration: took, cost: 1 });
                    return;
                }
                Part::ClientLeft => return,
                Part::Broken => place.ended(ReplicaOutcome::Failed),
            }
            self.avoid.push(place.target.id.clone());
            drop(held.take());
            tracing::info!(event = "stream_broke", request = %self.call.id, last = self.last);
            (held, reply) = self.again(&app).await;
        }
        tracing::info!(event = "stream_cut", request = %self.call.id, last = self.last);
        let _ = to.send(Err("the stream broke off".to_owned())).await;
    }

    /// Takes the stream up elsewhere.
    async fn again<'a>(&mut self, app: &'a App) -> (Option<Held<'a>>, Option<Reply>) {
        while self.resume && self.left > 0 {
            self.left -= 1;
            let time = self.leaves.saturating_sub(app.now());
            if time.is_zero() {
                break;
            }
            let Some(service) = self.service.clone() else { break };
            let wish = AttemptRequest {
                service: &service,
                weights: None,
                avoid: &self.avoid,
                allow_full: true,
            };
            let Some(held) = app.take(&wish) else { break };
            let mut call = self.call.clone();
            call.last_event = self.last;
            call.timeout = time;
            let sending = app.replicas.send(&held.target, call);
            if let Ok(Ok(reply)) = tokio::time::timeout(GAP, sending).await
                && reply.status.is_success()
            {
                return (Some(held), Some(reply));
            }
            self.avoid.push(held.target.id.clone());
            tokio::time::sleep(PAUSE).await;
        }
        (None, None)
    }

    async fn part(&mut self, reply: Reply, to: &mpsc::Sender<Result<Bytes, String>>) -> Part {
        let field = self.app.replicas.version_field();
        let mut reader = EventReader::new(field);
        let mut body = reply.body;
        let mut changed = (reply.version != self.version).then_some(reply.version).flatten();
        self.version = reply.version;
        loop {
            let piece = tokio::select! {
                () = to.closed() => return Part::ClientLeft,
                piece = tokio::time::timeout(GAP, body.next()) => piece,
            };
            let bytes = match piece {
                Err(_) | Ok(Some(Err(_))) => return Part::Broken,
                Ok(None) if reader.unfinished() => return Part::Broken,
                Ok(None) => return Part::Whole,
                Ok(Some(Ok(bytes))) => bytes,
            };
            let Ok(events) = reader.push(&bytes) else { return Part::Broken };
            for event in events {
                if self.last.is_some_and(|last| event.id != last + 1) {
                    return Part::Broken;
                }
                self.last = Some(event.id);
                let stated = event.version.is_some();
                self.version = event.version.or(self.version);
                if let Some(version) = changed.take().filter(|_| !stated) {
                    let line = Bytes::from(format!("{field}: {version}\n"));
                    if to.send(Ok(line)).await.is_err() {
                        return Part::ClientLeft;
                    }
                }
                if to.send(Ok(event.raw)).await.is_err() {
                    return Part::ClientLeft;
                }
            }
        }
    }
}
