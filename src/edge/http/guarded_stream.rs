//! A client's connection, whose next request has to arrive in time and within its memory.

use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep};

use super::activity::Activity;
use crate::decide::load::HeadLimits;
use crate::edge::{MemoryBudget, MemoryCharge};

/// The bytes of a head that need no reservation: the first buffer of the HTTP library, which is
/// part of what every connection takes.
const UNRESERVED_BYTES: usize = 8 << 10;
/// The memory of a larger head relative to the largest one allowed: the buffer doubles as it grows.
pub(super) const BUFFER_FACTOR: usize = 2;

/// A connection whose reads fail with [`ErrorKind::TimedOut`] if the head of its next request is
/// late, and with [`ErrorKind::OutOfMemory`] if there is no memory for a large one.
///
/// Load pattern: clients that begin heads and never end them, on as many connections as they get.
pub(super) struct GuardedStream<S> {
    stream: S,
    activity: Arc<Activity>,
    limits: HeadLimits,
    /// For heads that are larger than the first buffer.
    memory: MemoryBudget,
    /// The head that is awaited.
    head: Option<Head>,
}

/// A head that is awaited or has arrived in part.
struct Head {
    /// The number of requests before it.
    number: u64,
    received: usize,
    timer: Pin<Box<Sleep>>,
    charge: Option<MemoryCharge>,
}

impl<S> GuardedStream<S> {
    /// Wraps a connection whose requests are recorded in `activity`.
    pub(super) fn new(
        stream: S,
        activity: Arc<Activity>,
        limits: HeadLimits,
        memory: MemoryBudget,
    ) -> Self {
        Self { stream, activity, limits, memory, head: None }
    }
}

impl Head {
    /// Waits for the first byte.
    fn awaited(number: u64, limits: &HeadLimits) -> Self {
        let timer = Box::pin(tokio::time::sleep(limits.idle_timeout));
        Self { number, received: 0, timer, charge: None }
    }

    /// Counts bytes that have arrived.
    fn record(&mut self, bytes: usize, limits: &HeadLimits, memory: &MemoryBudget) -> Result<()> {
        if self.received == 0 && bytes > 0 {
            self.timer.as_mut().reset(Instant::now() + limits.timeout);
        }
        self.received += bytes;
        if self.received > UNRESERVED_BYTES && self.charge.is_none() {
            let charge = memory.try_reserve(limits.max_bytes * BUFFER_FACTOR);
            self.charge = Some(charge.ok_or_else(|| Error::from(ErrorKind::OutOfMemory))?);
        }
        Ok(())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for GuardedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let this = &mut *self;
        // The parts of a request refer to the buffer of its head, so its charge is kept until the
        // request has ended.
        let Some(number) = this.activity.awaited() else {
            return Pin::new(&mut this.stream).poll_read(cx, buf);
        };
        if this.head.as_ref().is_none_or(|head| head.number != number) {
            this.head = Some(Head::awaited(number, &this.limits));
        }
        let Some(head) = &mut this.head else { return Poll::Pending };
        let before = buf.filled().len();
        match Pin::new(&mut this.stream).poll_read(cx, buf) {
            Poll::Ready(Ok(())) => {
                let received = buf.filled().len() - before;
                Poll::Ready(head.record(received, &this.limits, &this.memory))
            }
            Poll::Ready(Err(e)) => Poll::Ready(Err(e)),
            // Bytes that have arrived count first: the process may have been paused.
            Poll::Pending => {
                ready!(head.timer.as_mut().poll(cx));
                if !this.activity.is_idle() {
                    // The client still reads the response before.
                    head.timer.as_mut().reset(Instant::now() + this.limits.idle_timeout);
                    let _ = head.timer.as_mut().poll(cx);
                    return Poll::Pending;
                }
                tracing::info!(event = "request_head_timeout", received = head.received);
                Poll::Ready(Err(Error::from(ErrorKind::TimedOut)))
            }
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for GuardedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.activity.set_unsent(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.activity.set_unsent(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
