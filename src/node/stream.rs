//! Completions of callers: whole, or as a stream that can be resumed at any node.
//!
//! A node keeps nothing of a stream that has ended. The caller resumes with the
//! id of the last event (`Last-Event-ID`) and the text that it has (`prior`), so
//! that any node can go on, also one that never heard of the stream.

use std::sync::Arc;
use std::time::Duration;

use http::header::{CONTENT_TYPE, HeaderValue};
use http::request::Parts;
use http::{HeaderMap, Response, StatusCode};
use serde_json::json;
use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;
use xxhash_rust::xxh3::xxh3_64;

use super::addresses::{Addresses, for_client};
use super::app::App;
use super::callers::call_of;
use super::complete::{Job, Progress, Whole, complete};
use super::lifecycle::Phase;
use crate::decide::Repeat;
use crate::edge::http::{Body, BodyAborted, BodySender, json_response as answer, streamed_body};
use crate::edge::upstream::{Chunk, CompletionRequest, PriorOutput};
use crate::error::{Kind, Refusal};

/// Chunks that wait for a slow caller.
const BUFFER: usize = 64;
/// A stream looks so often whether the node lets it go.
const LOOK: Duration = Duration::from_millis(100);
/// The header that names the last event that the caller has.
const LAST_EVENT: &str = "last-event-id";
/// The header of callers that resume at another node when they are told to.
const RESUMES: &str = "mulberry-resume";

/// Where a stream is: its id and the index of the next token.
#[derive(Debug, Clone)]
struct Place {
    id: String,
    index: u32,
}

impl Place {
    /// A new stream's, or the one that the caller comes back with.
    fn of(headers: &HeaderMap, prior: Option<&PriorOutput>) -> Result<Self, Refusal> {
        let have = prior.map_or(0, |p| p.tokens);
        let Some(last) = headers.get(LAST_EVENT) else {
            return Ok(Self { id: format!("{:016x}", rand::random::<u64>()), index: have });
        };
        let bad = |detail| Refusal::new(Kind::BadRequest, format!("{LAST_EVENT}: {detail}"));
        let last = last.to_str().map_err(|_| bad("no text"))?;
        let (id, index) = last.split_once('/').ok_or_else(|| bad("no event of a stream"))?;
        if u64::from_str_radix(id, 16).is_err() {
            return Err(bad("no event of a stream"));
        }
        let index: u32 = index.parse().map_err(|_| bad("no event of a stream"))?;
        if index != have {
            return Err(bad("the body's prior does not end at this event"));
        }
        Ok(Self { id: id.to_owned(), index })
    }
}

/// Answers a completion request.
pub(super) async fn completions(
    app: &Arc<App>,
    head: &Parts,
    mut request: CompletionRequest,
) -> Result<Response<Body>, Refusal> {
    let adopted = app.bundle()?;
    let service = request.model.clone();
    let mut call = call_of(app, &adopted.bundle, &head.headers, &service)?;
    let dispatcher = app.dispatcher(&service)?;
    if adopted.bundle.services.get(&*service).is_some_and(|s| s.engine.is_none()) {
        return Err(Refusal::new(Kind::BadRequest, format!("{service} is no model")));
    }
    call.cost = request.max_tokens;
    call.fingerprint = xxh3_64(request.prompt.as_bytes());
    call.prefix = Some(call.fingerprint);
    call.repeat = Repeat::Idempotent;
    // Callers' ids may be the same: towards engines the node uses its own.
    request.request_id = format!("{:016x}", rand::random::<u64>());
    let place = Place::of(&head.headers, request.prior.as_ref())?;
    let mut progress = Progress::after(request.prior.take().unwrap_or_default());
    if !request.stream {
        let job = Job { call, request, floor: None, drag: None, sink: None };
        let whole = complete(app, &dispatcher, job, &mut progress).await?;
        return Ok(answer(StatusCode::OK, &completion(&place.id, whole)));
    }
    let (sink, chunks) = mpsc::channel(BUFFER);
    let shared = app.clone();
    let task = tokio::spawn(async move {
        let job = Job { call, request, floor: None, drag: None, sink: Some(sink) };
        complete(&shared, &dispatcher, job, &mut progress).await
    });
    let resumes = head.headers.contains_key(RESUMES);
    let stream = Stream { app: app.clone(), place, chunks, resumes };
    stream.open(AbortOnDropHandle::new(task)).await
}

/// The completion under way. Dropping it ends its work at the engine.
type Task = AbortOnDropHandle<Result<Whole, Refusal>>;

struct Stream {
    app: Arc<App>,
    place: Place,
    chunks: mpsc::Receiver<Chunk>,
    resumes: bool,
}

/// What comes next in a stream.
enum Next {
    Chunk(Chunk),
    /// No more chunks: the task says how it ended.
    Ended,
    /// The node lets the stream go.
    Moved,
}

impl Stream {
    /// Answers once the first chunk is there; a refusal before it has its own status.
    async fn open(mut self, task: Task) -> Result<Response<Body>, Refusal> {
        let Some(first) = self.chunks.recv().await else {
            let lost = |e| Refusal::new(Kind::Internal, format!("the task ended: {e}"));
            task.await.map_err(lost)??;
            return Err(Refusal::new(Kind::Truncated, "the engine sent no token"));
        };
        let (sender, body) = streamed_body(BUFFER);
        tokio::spawn(self.relay(first, task, sender));
        let mut response = Response::new(body);
        let kind = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        Ok(response)
    }

    async fn relay(mut self, first: Chunk, task: Task, mut sender: BodySender) {
        let mut next = Next::Chunk(first);
        while let Next::Chunk(chunk) = next {
            let event = self.event(&chunk);
            if sender.send_data(event.into()).await.is_err() {
                return;
            }
            next = self.next().await;
        }
        let last = match next {
            Next::Moved => self.moved(),
            Next::Chunk(_) | Next::Ended => match task.await {
                Ok(Ok(_)) => "data: [DONE]\n\n".to_owned(),
                Ok(Err(refusal)) => self.refused(&refusal),
                Err(_) => {
                    sender.abort(BodyAborted);
                    return;
                }
            },
        };
        let _ = sender.send_data(last.into()).await;
    }

    async fn next(&mut self) -> Next {
        loop {
            // A caller that can't resume is served to the end of its stream.
            if self.resumes && leaves(self.app.phase()) && self.app.others_serve() {
                return Next::Moved;
            }
            match tokio::time::timeout(LOOK, self.chunks.recv()).await {
                Ok(Some(chunk)) => return Next::Chunk(chunk),
                Ok(None) => return Next::Ended,
                Err(_) => {}
            }
        }
    }

    /// One event; its id is the stream and the index of the next token.
    fn event(&mut self, chunk: &Chunk) -> String {
        self.place.index += chunk.tokens;
        let Place { id, index } = &self.place;
        let data = json!({
            "id": id,
            "object": "text_completion",
            "choices": [{ "index": 0, "text": chunk.text, "finish_reason": chunk.finish }],
            "tokens": chunk.tokens,
            "weight_version": chunk.version,
        });
        format!("id: {id}/{index}\ndata: {data}\n\n")
    }

    /// Tells the caller to go on elsewhere from the last event, and where: over a long
    /// stream all that it knew of may have gone.
    fn moved(&self) -> String {
        let Place { id, index } = &self.place;
        tracing::info!(event = "stream_moved", %id, index);
        // The stream has its own few nodes, so that those that leave together spread.
        let Addresses { addresses, ttl_ms } = for_client(&self.app, id);
        let last = format!("{id}/{index}");
        let data = json!({ "last_event_id": last, "addresses": addresses, "ttl_ms": ttl_ms });
        format!("event: moved\ndata: {data}\n\n")
    }

    fn refused(&self, refusal: &Refusal) -> String {
        self.app.metrics.refused(refusal.kind);
        let problem = serde_json::to_string(&refusal.problem()).unwrap_or_default();
        format!("event: error\ndata: {problem}\n\n")
    }
}

/// Whether streams are to go on at another node: those who kept the address had
/// their time, and what is left is in flight.
fn leaves(phase: Phase) -> bool {
    match phase {
        Phase::Starting | Phase::Serving | Phase::Draining => false,
        Phase::Closing | Phase::Stopped => true,
    }
}

fn completion(id: &str, whole: Whole) -> serde_json::Value {
    let tokens = whole.label.tokens();
    let label = whole.label.finish().ok();
    json!({
        "id": id,
        "object": "text_completion",
        "choices": [{ "index": 0, "text": whole.text, "finish_reason": whole.finish }],
        "usage": { "completion_tokens": tokens },
        "label": label,
    })
}
