//! A connection that fails if its peer does not read for too long.

use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

/// A connection whose writes fail with [`ErrorKind::TimedOut`] once none could proceed for a time.
///
/// Load pattern: clients that are frozen or never read. What is held for each of them counts against
/// the memory of the node, so that some of them would keep all others out for good.
#[derive(Debug)]
pub struct WriteTimeout<S> {
    stream: S,
    /// None for no timeout.
    timeout: Option<Duration>,
    /// Runs while a write waits.
    timer: Option<Pin<Box<Sleep>>>,
}

impl<S> WriteTimeout<S> {
    /// Wraps a connection. None for no timeout.
    pub fn new(stream: S, timeout: Option<Duration>) -> Self {
        Self { stream, timeout, timer: None }
    }

    /// Starts the timer if a write has to wait, and fails the write once it has run out.
    fn check<T>(&mut self, cx: &mut Context<'_>, written: Poll<Result<T>>) -> Poll<Result<T>> {
        let Some(timeout) = self.timeout.filter(|_| written.is_pending()) else {
            self.timer = None;
            return written;
        };
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(Error::from(ErrorKind::TimedOut))),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WriteTimeout<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WriteTimeout<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.check(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        self.check(cx, flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
