//! What a misbehaving client sends.

use std::time::Duration;

use bytes::Bytes;
use http::Request;

/// What a client sends on each of its connections. It then holds the connection open.
#[derive(Debug, Clone)]
pub enum Behaviour {
    /// Sends `opening`, then `filler` again and again until `bytes` bytes are sent.
    Raw {
        /// The first bytes.
        opening: Bytes,
        /// What follows; nothing if it is empty.
        filler: Bytes,
        /// The number of bytes after which it stops.
        bytes: usize,
    },
    /// Sends `opening`, then `filler` again and again with a pause before each, without end.
    Trickle {
        /// The first bytes.
        opening: Bytes,
        /// What follows.
        filler: Bytes,
        /// The time before each.
        pause: Duration,
    },
    /// Opens HTTP/2 streams and ends none of them.
    Streams {
        /// The head of each request.
        head: Box<Request<()>>,
        /// The number of streams.
        count: usize,
        /// The bytes of each body.
        bytes: usize,
    },
}

/// The first line of a request, and its first headers. No empty line follows.
pub fn head_start(method: &str, path: &str, headers: &[(&str, &str)]) -> Bytes {
    let headers: String =
        headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    format!("{method} {path} HTTP/1.1\r\n{headers}").into()
}

impl Behaviour {
    /// Sends nothing.
    pub fn silent() -> Self {
        Self::Raw { opening: Bytes::new(), filler: Bytes::new(), bytes: 0 }
    }

    /// Sends these bytes only.
    pub fn only(opening: Bytes) -> Self {
        let bytes = opening.len();
        Self::Raw { opening, filler: Bytes::new(), bytes }
    }

    /// Sends a head that does not end: header after header, up to `bytes` bytes.
    pub fn head(opening: Bytes, bytes: usize) -> Self {
        let filler = format!("x-filler: {}\r\n", "a".repeat(8_000)).into();
        Self::Raw { opening, filler, bytes }
    }

    /// Sends a head with one header that does not end, up to `bytes` bytes.
    pub fn header(mut opening: Vec<u8>, bytes: usize) -> Self {
        opening.extend_from_slice(b"x-filler: ");
        Self::Raw { opening: opening.into(), filler: Bytes::from(vec![b'a'; 8_000]), bytes }
    }

    /// Sends empty lines before a request that does not come, up to `bytes` bytes.
    pub fn empty_lines(bytes: usize) -> Self {
        let filler = "\r\n".repeat(4_000).into();
        Self::Raw { opening: Bytes::new(), filler, bytes }
    }

    /// Sends a body of chunks that does not end, up to `bytes` bytes.
    pub fn chunks(head: &Bytes, bytes: usize) -> Self {
        let opening = [head, &b"transfer-encoding: chunked\r\n\r\n"[..]].concat().into();
        let filler = format!("1f40\r\n{}\r\n", "b".repeat(8_000)).into();
        Self::Raw { opening, filler, bytes }
    }
}
