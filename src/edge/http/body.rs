//! Bodies and the answers made of them.

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

/// The body of every request that is sent and every answer that is given.
pub type Body = UnsyncBoxBody<Bytes, BodyAborted>;

/// The sending end of a streamed body.
pub type BodySender = Sender<Bytes, BodyAborted>;

/// A streamed body was given up on: the connection is cut, so that nobody takes
/// the part for the whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the body was given up on")]
pub struct BodyAborted;

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// It is larger than the limit, in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// It broke off.
    #[error("the body broke off: {0}")]
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

/// No body.
pub fn empty_body() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// A body that is there at once.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A body that is sent piece by piece; it is cut off if the sender aborts.
pub fn streamed_body(buffer: usize) -> (BodySender, Body) {
    let (sender, channel) = Channel::new(buffer);
    (sender, channel.boxed_unsync())
}

/// A body whose pieces come from a stream; an error cuts it off.
pub fn body_from_stream(pieces: BoxStream<'static, Result<Bytes, String>>) -> Body {
    let frames = pieces.map(|piece| piece.map(Frame::data).map_err(|_| BodyAborted));
    StreamBody::new(frames).boxed_unsync()
}

/// An answer in JSON.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => with_type(status, "application/json", bytes),
        Err(e) => problem_response(&Refusal::new(Kind::Internal, e.to_string())),
    }
}

/// The answer to a refusal: problem+json, with `Retry-After` in whole seconds.
pub fn problem_response(refusal: &Refusal) -> Response<Body> {
    let status = refusal.kind.answer().status;
    let bytes = serde_json::to_vec(&refusal.problem()).unwrap_or_default();
    let mut response = with_type(status, "application/problem+json", bytes);
    let headers = response.headers_mut();
    headers.insert("mulberry-run", HeaderValue::from_static(refusal.run().as_str()));
    if let Some(after) = refusal.after {
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
    // A body that says how large it is needs not be read to be refused.
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyError::TooLarge(limit));
    }
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(BodyError::TooLarge(limit)),
        Err(e) => Err(BodyError::Interrupted(e.to_string())),
    }
}

fn with_type(status: StatusCode, kind: &'static str, bytes: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}
