//! Bundles at the platform, as operators read and write them.

use std::sync::Arc;
use std::time::Duration;

use super::Failure;
use crate::bundle::Envelope;
use crate::edge::platform::{Kept, Platform, Swap};
use crate::metrics::{Metrics, PlatformUse};
use crate::node::{CURRENT, HISTORY, PROPOSED};

/// How long one call to the platform may take.
const TIMEOUT: Duration = Duration::from_secs(5);

/// The platform's bundles.
#[derive(Debug)]
pub struct Store {
    platform: Platform,
}

impl Store {
    /// The bundles of the platform at an address.
    pub fn new(address: std::net::SocketAddr) -> Self {
        Self { platform: Platform::new(address, TIMEOUT, Arc::new(Metrics::default())) }
    }

    /// The bundle in force and the revision that wrote it, 0 for none.
    pub async fn current(&self) -> Result<(Option<Envelope>, u64), Failure> {
        self.read(CURRENT).await
    }

    /// A proposed bundle and the revision that wrote it, 0 for none.
    pub async fn proposed(&self, number: u64) -> Result<(Option<Envelope>, u64), Failure> {
        self.read(&key(PROPOSED, number)).await
    }

    /// The bundles that were in force, oldest first.
    pub async fn history(&self) -> Result<Vec<Envelope>, Failure> {
        let (kept, _) = self.platform.list(HISTORY, PlatformUse::Bundle).await?;
        kept.iter().map(parse).collect()
    }

    /// Writes a proposal if the last write was `expected`.
    pub async fn propose(&self, envelope: &Envelope, expected: u64) -> Result<(), Failure> {
        self.write(&key(PROPOSED, envelope.number), envelope, expected, Vec::new()).await
    }

    /// Puts a bundle into force if the last write was `expected`.
    pub async fn apply(&self, envelope: &Envelope, expected: u64) -> Result<(), Failure> {
        let also = vec![(key(HISTORY, envelope.number), encode(envelope)?)];
        self.write(CURRENT, envelope, expected, also).await
    }

    async fn read(&self, key: &str) -> Result<(Option<Envelope>, u64), Failure> {
        match self.platform.get(key, PlatformUse::Bundle).await? {
            None => Ok((None, 0)),
            Some(kept) => Ok((Some(parse(&kept)?), kept.revision)),
        }
    }

    async fn write(
        &self,
        key: &str,
        envelope: &Envelope,
        expected: u64,
        also: Vec<(String, Vec<u8>)>,
    ) -> Result<(), Failure> {
        let value = encode(envelope)?;
        match self.platform.swap(key, expected, value, also, PlatformUse::Bundle).await {
            Swap::Done(_) => Ok(()),
            Swap::Conflict(kept) => Err(conflict(kept.as_ref(), envelope)),
            Swap::Unsent(reason) => Err(Failure::Unavailable(reason)),
            Swap::Unknown(reason) => self.settle(key, envelope, reason).await,
        }
    }

    /// The reply was lost: what is there tells whether the write took effect.
    async fn settle(&self, key: &str, envelope: &Envelope, reason: String) -> Result<(), Failure> {
        match self.platform.get(key, PlatformUse::Bundle).await {
            Ok(Some(kept)) if parse(&kept)?.nonce == envelope.nonce => Ok(()),
            Ok(kept) => Err(conflict(kept.as_ref(), envelope)),
            Err(_) => Err(Failure::Unknown(reason)),
        }
    }
}

fn key(prefix: &str, number: u64) -> String {
    format!("{prefix}{number:020}")
}

fn parse(kept: &Kept) -> Result<Envelope, Failure> {
    serde_json::from_slice(&kept.value)
        .map_err(|e| Failure::File { path: kept.key.clone(), reason: e.to_string() })
}

fn encode(envelope: &Envelope) -> Result<Vec<u8>, Failure> {
    serde_json::to_vec(envelope)
        .map_err(|e| Failure::File { path: envelope.number.to_string(), reason: e.to_string() })
}

fn conflict(kept: Option<&Kept>, ours: &Envelope) -> Failure {
    let Some(theirs) = kept.and_then(|k| parse(k).ok()) else {
        return Failure::Unavailable("the key changed under the write; try again".to_owned());
    };
    Failure::Conflict {
        winner: theirs.author.to_string(),
        number: theirs.number,
        difference: difference(&theirs.text, &ours.text),
    }
}

/// The lines that only one of two texts has: `-` for the first, `+` for the second.
pub(super) fn difference(first: &str, second: &str) -> String {
    let only = |a: &str, b: &str, sign: char| -> Vec<String> {
        let theirs: Vec<&str> = b.lines().collect();
        a.lines().filter(|l| !theirs.contains(l)).map(|l| format!("{sign} {l}")).collect()
    };
    let mut lines = only(first, second, '-');
    lines.extend(only(second, first, '+'));
    lines.join("\n")
}
