//! Bundles at the platform, as operators read and write them.

use std::sync::Arc;
use std::time::Duration;

use super::CommandError;
use crate::bundle::Envelope;
use crate::edge::platform::{PlatformClient, SwapOutcome, VersionedValue};
use crate::metrics::{Metrics, PlatformPurpose};
use crate::node::{BUNDLE_HISTORY_PREFIX, CURRENT_BUNDLE_KEY, PROPOSED_BUNDLE_PREFIX};

/// How long one call to the platform may take.
const TIMEOUT: Duration = Duration::from_secs(5);
/// How often a write is sent whose reply was lost and that has not taken effect.
const WRITES: u32 = 3;

/// The platform's bundles.
#[derive(Debug)]
pub struct BundleStore {
    platform: PlatformClient,
}

impl BundleStore {
    /// The bundles of the platform at an address.
    pub fn new(address: std::net::SocketAddr) -> Self {
        Self { platform: PlatformClient::new(address, TIMEOUT, Arc::new(Metrics::default())) }
    }

    /// The bundle in force and the revision that wrote it, 0 for none.
    pub async fn current(&self) -> Result<(Option<Envelope>, u64), CommandError> {
        self.read(CURRENT_BUNDLE_KEY).await
    }

    /// A proposed bundle and the revision that wrote it, 0 for none.
    pub async fn proposed(&self, number: u64) -> Result<(Option<Envelope>, u64), CommandError> {
        self.read(&key(PROPOSED_BUNDLE_PREFIX, number)).await
    }

    /// The bundles that were in force, oldest first.
    pub async fn history(&self) -> Result<Vec<Envelope>, CommandError> {
        let (kept, _) = self.platform.list(BUNDLE_HISTORY_PREFIX, PlatformPurpose::Bundle).await?;
        kept.iter().map(parse).collect()
    }

    /// Writes a proposal if the last write was `expected`.
    pub async fn propose(&self, envelope: &Envelope, expected: u64) -> Result<(), CommandError> {
        self.write(&key(PROPOSED_BUNDLE_PREFIX, envelope.number), envelope, expected, Vec::new())
            .await
    }

    /// Puts a bundle into force if the last write was `expected`.
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

    /// Writes, and settles what a lost reply leaves open: the write compares, so the same
    /// write may be sent again.
    async fn write(
        &self,
        key: &str,
        envelope: &Envelope,
        expected: u64,
        also: Vec<(String, Vec<u8>)>,
    ) -> Result<(), CommandError> {
        let value = encode(envelope)?;
        let mut unsure = None;
        for _ in 0..WRITES {
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
                    return self.settled(kept.as_ref(), envelope, &also).await;
                }
                SwapOutcome::Conflict(kept) => return Err(conflict(kept.as_ref(), envelope)),
                // Not sent now says nothing of the attempt before.
                SwapOutcome::Unsent(reason) => {
                    return Err(unsure
                        .map_or(CommandError::Unavailable(reason), CommandError::OutcomeUnknown));
                }
                SwapOutcome::Unknown(reason) => {
                    let Ok(kept) = self.platform.get(key, PlatformPurpose::Bundle).await else {
                        return Err(CommandError::OutcomeUnknown(reason));
                    };
                    if kept.as_ref().map_or(0, |k| k.revision) != expected {
                        return self.settled(kept.as_ref(), envelope, &also).await;
                    }
                    unsure = Some(reason);
                }
            }
        }
        Err(CommandError::OutcomeUnknown(unsure.unwrap_or_default()))
    }

    /// The reply was lost, and the key was written since: by this write, or by another.
    async fn settled(
        &self,
        kept: Option<&VersionedValue>,
        ours: &Envelope,
        also: &[(String, Vec<u8>)],
    ) -> Result<(), CommandError> {
        if kept.and_then(|k| parse(k).ok()).is_some_and(|theirs| holds(&theirs, ours)) {
            return Ok(());
        }
        // A later write may have covered this one; the history tells.
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

/// Whether what is kept is our write, or one that was built upon it.
fn holds(theirs: &Envelope, ours: &Envelope) -> bool {
    let built_upon = theirs.digest() == ours.digest()
        && ours.signatures.iter().all(|s| theirs.signatures.contains(s));
    theirs.nonce == ours.nonce || built_upon
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

/// How the second text differs from the first, as a unified diff.
pub(super) fn difference(first: &str, second: &str) -> String {
    let diff = similar::TextDiff::from_lines(first, second);
    diff.unified_diff().context_radius(1).to_string()
}
