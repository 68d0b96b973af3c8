//! A future that measures the time spent in its polls, which is the processor time of a
//! task that never blocks.

use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::AtomicU64;
use std::task::{Context, Poll};
use std::time::Instant;

use prometheus_client::metrics::counter::Counter;

/// A counter of seconds.
pub(super) type Seconds = Counter<f64, AtomicU64>;

/// A future that adds the duration of each of its polls to a counter.
#[derive(Debug)]
pub struct Timed<F> {
    future: Pin<Box<F>>,
    seconds: Seconds,
}

impl<F> Timed<F> {
    pub(super) fn new(future: F, seconds: Seconds) -> Self {
        Self { future: Box::pin(future), seconds }
    }
}

impl<F: Future> Future for Timed<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<F::Output> {
        let began = Instant::now();
        let polled = self.future.as_mut().poll(context);
        self.seconds.inc_by(began.elapsed().as_secs_f64());
        polled
    }
}
