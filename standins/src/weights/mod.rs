//! A stand-in for the weight store: it hands out versions at a limited rate.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use http::{Request, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::server::{Answer, Server, Service, text};

#[derive(Debug)]
struct Shared {
    rate: f64,
    tokens: Mutex<(f64, Instant)>,
    given: AtomicU64,
    refused: AtomicU64,
}

/// A running weight store.
#[derive(Debug)]
pub struct WeightStore {
    server: Server,
    shared: Arc<Shared>,
}

impl WeightStore {
    /// Binds an address; `rate` is how many versions it hands out in a second.
    pub async fn bind(address: SocketAddr, rate: f64) -> std::io::Result<Self> {
        let tokens = Mutex::new((rate.max(1.0), Instant::now()));
        let (given, refused) = (AtomicU64::new(0), AtomicU64::new(0));
        let shared = Arc::new(Shared { rate, tokens, given, refused });
        let server = Server::bind(address, shared.clone()).await?;
        Ok(Self { server, shared })
    }

    /// Versions handed out so far.
    pub fn given(&self) -> u64 {
        self.shared.given.load(Ordering::Relaxed)
    }

    /// Calls refused as over the rate so far.
    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

impl Service for Shared {
    async fn answer(self: Arc<Self>, _: Request<Incoming>) -> Answer {
        let mut tokens = self.tokens.lock();
        let (left, at) = *tokens;
        let now = Instant::now();
        let left = (left + (now - at).as_secs_f64() * self.rate).min(self.rate.max(1.0));
        let fits = left >= 1.0;
        *tokens = (if fits { left - 1.0 } else { left }, now);
        if fits {
            self.given.fetch_add(1, Ordering::Relaxed);
            text(StatusCode::OK, "weights")
        } else {
            self.refused.fetch_add(1, Ordering::Relaxed);
            text(StatusCode::TOO_MANY_REQUESTS, "over the rate")
        }
    }
}
