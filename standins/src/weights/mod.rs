//! A stand-in for the weight store, which serves weight versions at a limited rate.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use http::{Request, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::server::{Server, Service, ServiceResult, text_response};

#[derive(Debug)]
struct Shared {
    /// Versions served per second.
    rate: f64,
    /// The token bucket: its tokens, and when it was last refilled.
    tokens: Mutex<(f64, Instant)>,
    served: AtomicU64,
    refused: AtomicU64,
}

/// A running weight store.
#[derive(Debug)]
pub struct WeightStore {
    server: Server,
    shared: Arc<Shared>,
}

impl WeightStore {
    /// Binds an address; serves at most `rate` versions per second.
    pub async fn bind(address: SocketAddr, rate: f64) -> std::io::Result<Self> {
        let tokens = Mutex::new((rate.max(1.0), Instant::now()));
        let (served, refused) = (AtomicU64::new(0), AtomicU64::new(0));
        let shared = Arc::new(Shared { rate, tokens, served, refused });
        let server = Server::bind(address, shared.clone()).await?;
        Ok(Self { server, shared })
    }

    /// Versions served so far.
    pub fn served_loads(&self) -> u64 {
        self.shared.served.load(Ordering::Relaxed)
    }

    /// Calls refused so far because of the rate limit.
    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

impl Service for Shared {
    async fn handle(self: Arc<Self>, _: Request<Incoming>) -> ServiceResult {
        let mut tokens = self.tokens.lock();
        let (left, refilled_at) = *tokens;
        let now = Instant::now();
        let left = (left + (now - refilled_at).as_secs_f64() * self.rate).min(self.rate.max(1.0));
        let fits = left >= 1.0;
        *tokens = (if fits { left - 1.0 } else { left }, now);
        if fits {
            self.served.fetch_add(1, Ordering::Relaxed);
            text_response(StatusCode::OK, "weights")
        } else {
            self.refused.fetch_add(1, Ordering::Relaxed);
            text_response(StatusCode::TOO_MANY_REQUESTS, "over the rate limit")
        }
    }
}
