//! Bodies, and the responses built from them.

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::BoxStream;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body_util::channel::{Channel, Sender};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, LengthLimitError, Limited, StreamBody};
use hyper::body::Frame;
use serde::Serialize;

use crate::error::{Kind, Refusal};

/// The body type of all requests that are sent and all responses of the listeners.
pub type Body = UnsyncBoxBody<Bytes, BodyAborted>;

/// The sending half of a streamed body.
pub type BodySender = Sender<Bytes, BodyAborted>;

/// The error that ends a streamed body early. The connection is closed, so that the receiver does
/// not take the part for the whole body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the body was aborted")]
pub struct BodyAborted;

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body is larger than the limit, in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// The connection failed before the end of the body.
    #[error("the body was interrupted: {0}")]
    Interrupted(String),
}

impl From<BodyError> for Refusal {
    fn from(e: BodyError) -> Self {
        let kind = match e {
            BodyError::TooLarge(_) => Kind::BodyTooLarge,
            BodyError::Interrupted(_) => Kind::BadRequest,
        };
        Self::new(kind, e.to_string())
    }
}

/// Creates an empty body.
pub fn empty_body() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Creates a body from bytes that are all in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Creates a body that is sent piece by piece, with a buffer of `buffer` pieces. The body ends in
/// an error if the sender aborts.
pub fn streamed_body(buffer: usize) -> (BodySender, Body) {
    let (sender, channel) = Channel::new(buffer);
    (sender, channel.boxed_unsync())
}

/// Creates a body from a stream of pieces. An error in the stream aborts the body.
pub fn body_from_stream(pieces: BoxStream<'static, Result<Bytes, String>>) -> Body {
    let frames = pieces.map(|piece| piece.map(Frame::data).map_err(|_| BodyAborted));
    StreamBody::new(frames).boxed_unsync()
}

/// Creates a response with a JSON body.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => response_with_type(status, "application/json", bytes),
        Err(e) => problem_response(&Refusal::new(Kind::Internal, e.to_string())),
    }
}

/// Creates the response for a refusal: `application/problem+json`, with `Retry-After` rounded up
/// to whole seconds.
pub fn problem_response(refusal: &Refusal) -> Response<Body> {
    let status = refusal.kind.response().status;
    let bytes = serde_json::to_vec(&refusal.problem()).unwrap_or_default();
    let mut response = response_with_type(status, "application/problem+json", bytes);
    let headers = response.headers_mut();
    headers.insert("mulberry-run", HeaderValue::from_static(refusal.run().as_str()));
    if let Some(after) = refusal.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(after.as_millis().div_ceil(1_000) as u64));
    }
    response
}

/// Reads a whole body of at most `limit` bytes.
pub async fn read_body<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    // A body with a declared size over the limit is refused without reading it.
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyError::TooLarge(limit));
    }
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(BodyError::TooLarge(limit)),
        Err(e) => Err(BodyError::Interrupted(e.to_string())),
    }
}

/// Creates a response with a content type and a body.
fn response_with_type(
    status: StatusCode,
    content_type: &'static str,
    bytes: Vec<u8>,
) -> Response<Body> {
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
