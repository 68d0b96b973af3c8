//! Limits on the heads of requests.

use std::time::Duration;

/// The largest headers of a request if the configuration does not say, in bytes: twice the usual
/// limit of HTTP servers.
const DEFAULT_HEADER_BYTES: usize = 32 << 10;
/// What the request line may take besides the headers, in bytes.
const REQUEST_LINE_BYTES: usize = 8 << 10;
/// The longest time for a head, and without a request, if the configuration does not say.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// How large the head of a request may be, and how long a client may take to send it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeadLimits {
    /// The largest head, in bytes.
    pub max_bytes: usize,
    /// The longest time from the first byte of a head to its last.
    pub timeout: Duration,
    /// The longest time without a request.
    pub idle_timeout: Duration,
}

impl HeadLimits {
    /// The limits of a configuration. What it does not say, or says as zero, has a default.
    pub fn new(
        header_bytes: Option<usize>,
        timeout: Option<Duration>,
        idle_timeout: Option<Duration>,
    ) -> Self {
        let header_bytes = header_bytes.filter(|n| *n > 0).unwrap_or(DEFAULT_HEADER_BYTES);
        let time = |time: Option<Duration>| time.filter(|t| !t.is_zero());
        Self {
            max_bytes: header_bytes.saturating_add(REQUEST_LINE_BYTES),
            timeout: time(timeout).unwrap_or(DEFAULT_TIMEOUT),
            idle_timeout: time(idle_timeout).unwrap_or(DEFAULT_TIMEOUT),
        }
    }
}

impl Default for HeadLimits {
    fn default() -> Self {
        Self::new(None, None, None)
    }
}
