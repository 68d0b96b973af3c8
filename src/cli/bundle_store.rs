//! Reads and writes the bundles stored at the platform.

use std::sync::Arc;
use std::time::Duration;

use super::CommandError;
use crate::bundle::Envelope;
use crate::edge::platform::{PlatformClient, SwapOutcome, VersionedValue};
use crate::metrics::{Metrics, PlatformPurpose};
use crate::node::{BUNDLE_HISTORY_PREFIX, CURRENT_BUNDLE_KEY, PROPOSED_BUNDLE_PREFIX};

/// Timeout of a call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of times that a write is sent, if its reply is lost and it has not taken effect.
const MAX_WRITE_ATTEMPTS: u32 = 3;

/// The bundles stored at the platform.
#[derive(Debug)]
pub struct BundleStore {
    platform: PlatformClient,
}

impl BundleStore {
    /// Creates a client for the bundles of the platform at an address.
    pub fn new(address: std::net::SocketAddr) -> Self {
        Self {
            platform: PlatformClient::new(address, PLATFORM_TIMEOUT, Arc::new(Metrics::default())),
        }
    }

    /// Returns the active bundle and the revision that wrote it, 0 if there is none.
    pub async fn current(&self) -> Result<(Option<Envelope>, u64), CommandError> {
        self.read(CURRENT_BUNDLE_KEY).await
    }

    /// Returns a proposed bundle and the revision that wrote it, 0 if there is none.
    pub async fn proposed(&self, number: u64) -> Result<(Option<Envelope>, u64), CommandError> {
        self.read(&key(PROPOSED_BUNDLE_PREFIX, number)).await
    }

    /// Returns all bundles that are or were active, oldest first.
    pub async fn history(&self) -> Result<Vec<Envelope>, CommandError> {
        let (kept, _) = self.platform.list(BUNDLE_HISTORY_PREFIX, PlatformPurpose::Bundle).await?;
        kept.iter().map(parse).collect()
    }

    /// Writes a proposal if the revision of its key is still `expected`.
    pub async fn propose(&self, envelope: &Envelope, expected: u64) -> Result<(), CommandError> {
        self.write(&key(PROPOSED_BUNDLE_PREFIX, envelope.number), envelope, expected, Vec::new())
            .await
    }

    /// Makes a bundle the active one if the revision of its key is still `expected`, and adds it to
    /// the history.
    pub async fn apply(&self, envelope: &Envelope, expected: u64) -> Result<(), CommandError> {
        let also = vec![(key(BUNDLE_HISTORY_PREFIX, envelope.number), encode(envelope)?)];
        self.write(CURRENT_BUNDLE_KEY, envelope, expected, also).await
    }

    async fn read(&self, key: &str) -> Result<(Option<Envelope>, u64), CommandError> {
        match self.platform.get(key, PlatformPurpose::Bundle).await? {
            None => Ok((None, 0)),
            Some(kept) => Ok((Some(parse(&kept)?), kept.revision)),
        }
    }

    /// Writes an envelope and the keys of `also` if the revision of `key` is still `expected`. If
    /// the reply is lost, it finds out whether the write took effect. The write compares the
    /// revision, so sending it again is safe.
    async fn write(
        &self,
        key: &str,
        envelope: &Envelope,
        expected: u64,
        also: Vec<(String, Vec<u8>)>,
    ) -> Result<(), CommandError> {
        let value = encode(envelope)?;
        let mut unsure = None;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let write = self.platform.compare_and_swap(
                key,
                expected,
                value.clone(),
                also.clone(),
                PlatformPurpose::Bundle,
            );
            match write.await {
                SwapOutcome::Done(_) => return Ok(()),
                SwapOutcome::Conflict(kept) if unsure.is_some() => {
                    return self.resolve_conflict(kept.as_ref(), envelope, &also).await;
                }
                SwapOutcome::Conflict(kept) => return Err(conflict(kept.as_ref(), envelope)),
                // An unsent attempt says nothing about the outcome of the previous one.
                SwapOutcome::Unsent(reason) => {
                    return Err(unsure
                        .map_or(CommandError::Unavailable(reason), CommandError::OutcomeUnknown));
                }
                SwapOutcome::Unknown(reason) => {
                    let Ok(kept) = self.platform.get(key, PlatformPurpose::Bundle).await else {
                        return Err(CommandError::OutcomeUnknown(reason));
                    };
                    if kept.as_ref().map_or(0, |k| k.revision) != expected {
                        return self.resolve_conflict(kept.as_ref(), envelope, &also).await;
                    }
                    unsure = Some(reason);
                }
            }
        }
        Err(CommandError::OutcomeUnknown(unsure.unwrap_or_default()))
    }

    /// Decides, after a lost reply, whether the write that changed the key was this one.
    async fn resolve_conflict(
        &self,
        kept: Option<&VersionedValue>,
        ours: &Envelope,
        also: &[(String, Vec<u8>)],
    ) -> Result<(), CommandError> {
        if kept.and_then(|k| parse(k).ok()).is_some_and(|theirs| includes(&theirs, ours)) {
            return Ok(());
        }
        // A later write may have replaced this one; then the history still has it.
        for (key, _) in also {
            match self.platform.get(key, PlatformPurpose::Bundle).await {
                Ok(Some(kept)) if parse(&kept).is_ok_and(|e| e.nonce == ours.nonce) => {
                    return Ok(());
                }
                Ok(_) => {}
                Err(e) => return Err(CommandError::OutcomeUnknown(e.to_string())),
            }
        }
        Err(conflict(kept, ours))
    }
}

/// Returns whether the stored envelope is our write or a later one that includes our signatures.
fn includes(theirs: &Envelope, ours: &Envelope) -> bool {
    let has_signatures = theirs.digest() == ours.digest()
        && ours.signatures.iter().all(|s| theirs.signatures.contains(s));
    theirs.nonce == ours.nonce || has_signatures
}

fn key(prefix: &str, number: u64) -> String {
    format!("{prefix}{number:020}")
}

fn parse(kept: &VersionedValue) -> Result<Envelope, CommandError> {
    serde_json::from_slice(&kept.value)
        .map_err(|e| CommandError::File { path: kept.key.clone(), reason: e.to_string() })
}

fn encode(envelope: &Envelope) -> Result<Vec<u8>, CommandError> {
    serde_json::to_vec(envelope).map_err(|e| CommandError::File {
        path: envelope.number.to_string(),
        reason: e.to_string(),
    })
}

fn conflict(kept: Option<&VersionedValue>, ours: &Envelope) -> CommandError {
    let Some(theirs) = kept.and_then(|k| parse(k).ok()) else {
        return CommandError::Unavailable("the key changed under the write; try again".to_owned());
    };
    CommandError::Conflict {
        winner: theirs.author.to_string(),
        number: theirs.number,
        digest: hex::encode(theirs.digest()),
        difference: difference(&theirs.text, &ours.text),
    }
}

/// Returns a unified diff from the first text to the second.
pub(super) fn difference(first: &str, second: &str) -> String {
    let diff = similar::TextDiff::from_lines(first, second);
    diff.unified_diff().context_radius(1).to_string()
}
