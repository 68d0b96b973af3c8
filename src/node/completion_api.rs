//! The completions endpoint: a response is sent as a whole, or as a stream that the caller can
//! resume at any node.
//!
//! A node keeps no state of a stream that has ended. The caller resumes with the id of its last
//! event (`Last-Event-ID`) and the text that it has received (`prior`). So any node can continue
//! the stream, including one that has no record of it.

use std::sync::Arc;
use std::time::Duration;

use http::header::{CONTENT_TYPE, HeaderValue};
use http::request::Parts;
use http::{HeaderMap, Response, StatusCode};
use serde_json::json;
use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;
use xxhash_rust::xxh3::xxh3_64;

use super::addresses::{Addresses, addresses_for_client};
use super::app::App;
use super::client_api::build_call;
use super::completion::{Completion, CompletionJob, Progress, run_completion};
use super::lifecycle::Phase;
use crate::decide::Repeat;
use crate::edge::http::{Body, BodyAborted, BodySender, json_response, streamed_body};
use crate::edge::upstream::{Chunk, CompletionRequest, PriorOutput};
use crate::error::{Kind, Refusal};

/// The maximum number of chunks that wait for a slow caller.
const MAX_BUFFERED_CHUNKS: usize = 64;
/// How often a stream without new chunks checks whether it has to move to another node.
const MOVE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The header with the id of the last event that the caller has received.
const LAST_EVENT_HEADER: &str = "last-event-id";
/// The header of callers that resume their stream at another node on a `moved` event.
const RESUME_HEADER: &str = "mulberry-resume";

/// The position in a stream: its id and the index of the next token.
#[derive(Debug, Clone)]
struct StreamPosition {
    id: String,
    index: u32,
}

impl StreamPosition {
    /// Returns the start of a new stream, or the position at which the caller resumes one.
    fn from_request(headers: &HeaderMap, prior: Option<&PriorOutput>) -> Result<Self, Refusal> {
        let prior_tokens = prior.map_or(0, |p| p.tokens);
        let Some(last) = headers.get(LAST_EVENT_HEADER) else {
            let id = format!("{:016x}", rand::random::<u64>());
            return Ok(Self { id, index: prior_tokens });
        };
        let bad = |detail| Refusal::new(Kind::BadRequest, format!("{LAST_EVENT_HEADER}: {detail}"));
        let last = last.to_str().map_err(|_| bad("is not ASCII text"))?;
        let (id, index) = last.split_once('/').ok_or_else(|| bad("is not the id of an event"))?;
        if u64::from_str_radix(id, 16).is_err() {
            return Err(bad("is not the id of an event"));
        }
        let index: u32 = index.parse().map_err(|_| bad("is not the id of an event"))?;
        if index != prior_tokens {
            return Err(bad("the prior output in the body does not end at this event"));
        }
        Ok(Self { id: id.to_owned(), index })
    }
}

/// Handles a completion request.
pub(super) async fn handle_completion(
    app: &Arc<App>,
    head: &Parts,
    mut request: CompletionRequest,
) -> Result<Response<Body>, Refusal> {
    let adopted = app.bundle()?;
    let service = request.model.clone();
    let mut call = build_call(app, &adopted.bundle, &head.headers, &service)?;
    let dispatcher = app.dispatcher(&service)?;
    if adopted.bundle.services.get(&*service).is_some_and(|s| s.engine.is_none()) {
        return Err(Refusal::new(Kind::BadRequest, format!("service {service} is not a model")));
    }
    call.cost = request.max_tokens;
    call.fingerprint = xxh3_64(request.prompt.as_bytes());
    call.prefix = Some(call.fingerprint);
    call.repeat = Repeat::Idempotent;
    // Two callers may use the same id, so the node sends its own to the engines.
    request.request_id = format!("{:016x}", rand::random::<u64>());
    let position = StreamPosition::from_request(&head.headers, request.prior.as_ref())?;
    let mut progress = Progress::after(request.prior.take().unwrap_or_default());
    if !request.stream {
        let job = CompletionJob {
            call,
            request,
            min_version: None,
            slow_detector: None,
            chunk_sender: None,
        };
        let completion = run_completion(app, &dispatcher, job, &mut progress).await?;
        return Ok(json_response(StatusCode::OK, &completion_body(&position.id, completion)));
    }
    let (chunk_sender, chunks) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let shared = app.clone();
    let task = tokio::spawn(async move {
        let job = CompletionJob {
            call,
            request,
            min_version: None,
            slow_detector: None,
            chunk_sender: Some(chunk_sender),
        };
        run_completion(&shared, &dispatcher, job, &mut progress).await
    });
    let resumable = head.headers.contains_key(RESUME_HEADER);
    let stream = CompletionStream { app: app.clone(), position, chunks, resumable };
    stream.open(AbortOnDropHandle::new(task)).await
}

/// The task of a running completion. Dropping it cancels the work at the engine.
type CompletionTask = AbortOnDropHandle<Result<Completion, Refusal>>;

struct CompletionStream {
    app: Arc<App>,
    position: StreamPosition,
    chunks: mpsc::Receiver<Chunk>,
    /// Whether the caller can resume the stream at another node.
    resumable: bool,
}

/// The next event of a stream.
enum StreamEvent {
    Chunk(Chunk),
    /// There are no more chunks. The result of the task says how the completion ended.
    Ended,
    /// The caller has to resume the stream at another node.
    Moved,
}

impl CompletionStream {
    /// Returns the response once the first chunk has arrived. A refusal before that is sent with
    /// its own status.
    async fn open(mut self, task: CompletionTask) -> Result<Response<Body>, Refusal> {
        let Some(first) = self.chunks.recv().await else {
            let failed =
                |e| Refusal::new(Kind::Internal, format!("the completion task failed: {e}"));
            task.await.map_err(failed)??;
            return Err(Refusal::new(Kind::Truncated, "the engine sent no tokens"));
        };
        let (sender, body) = streamed_body(MAX_BUFFERED_CHUNKS);
        tokio::spawn(self.relay(first, task, sender));
        let mut response = Response::new(body);
        let content_type = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        Ok(response)
    }

    async fn relay(mut self, first: Chunk, task: CompletionTask, mut sender: BodySender) {
        let mut next = StreamEvent::Chunk(first);
        while let StreamEvent::Chunk(chunk) = next {
            let event = self.chunk_event(&chunk);
            if sender.send_data(event.into()).await.is_err() {
                return;
            }
            next = self.next_event().await;
        }
        let last = match next {
            StreamEvent::Moved => self.moved_event(),
            StreamEvent::Chunk(_) | StreamEvent::Ended => match task.await {
                Ok(Ok(_)) => "data: [DONE]\n\n".to_owned(),
                Ok(Err(refusal)) => self.error_event(&refusal),
                Err(_) => {
                    sender.abort(BodyAborted);
                    return;
                }
            },
        };
        let _ = sender.send_data(last.into()).await;
    }

    async fn next_event(&mut self) -> StreamEvent {
        loop {
            // A caller that can't resume is served until its stream ends.
            if self.resumable && moves_streams(self.app.phase()) && self.app.others_serve() {
                return StreamEvent::Moved;
            }
            match tokio::time::timeout(MOVE_CHECK_INTERVAL, self.chunks.recv()).await {
                Ok(Some(chunk)) => return StreamEvent::Chunk(chunk),
                Ok(None) => return StreamEvent::Ended,
                Err(_) => {}
            }
        }
    }

    /// Formats the event of a chunk. Its id is the id of the stream and the index of the next
    /// token.
    fn chunk_event(&mut self, chunk: &Chunk) -> String {
        self.position.index += chunk.tokens;
        let StreamPosition { id, index } = &self.position;
        let data = json!({
            "id": id,
            "object": "text_completion",
            "choices": [{ "index": 0, "text": chunk.text, "finish_reason": chunk.finish }],
            "tokens": chunk.tokens,
            "weight_version": chunk.version,
        });
        format!("id: {id}/{index}\ndata: {data}\n\n")
    }

    /// Formats the event that asks the caller to resume at another node after the last event. It
    /// lists node addresses, because all nodes that the caller knows may have gone during a long
    /// stream.
    fn moved_event(&self) -> String {
        let StreamPosition { id, index } = &self.position;
        tracing::info!(event = "stream_moved", %id, index);
        // The addresses are chosen by the id of the stream, so that streams that move at the same
        // time spread over the nodes.
        let Addresses { addresses, ttl_ms } = addresses_for_client(&self.app, id);
        let last = format!("{id}/{index}");
        let data = json!({ "last_event_id": last, "addresses": addresses, "ttl_ms": ttl_ms });
        format!("event: moved\ndata: {data}\n\n")
    }

    fn error_event(&self, refusal: &Refusal) -> String {
        self.app.metrics.count_refusal(refusal.kind);
        let problem = serde_json::to_string(&refusal.problem()).unwrap_or_default();
        format!("event: error\ndata: {problem}\n\n")
    }
}

/// Whether streams move to another node in this phase. By then the callers' cached addresses of
/// this node have expired, and only requests in flight are left.
fn moves_streams(phase: Phase) -> bool {
    match phase {
        Phase::Starting | Phase::Serving | Phase::Draining => false,
        Phase::Closing | Phase::Stopped => true,
    }
}

fn completion_body(id: &str, completion: Completion) -> serde_json::Value {
    let tokens = completion.label.tokens();
    let label = completion.label.finish().ok();
    json!({
        "id": id,
        "object": "text_completion",
        "choices": [{ "index": 0, "text": completion.text, "finish_reason": completion.finish }],
        "usage": { "completion_tokens": tokens },
        "label": label,
    })
}
