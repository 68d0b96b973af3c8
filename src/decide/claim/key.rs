//! What a claim is kept under, and which node is home to it.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::decide::rank;

/// Partitions of the key space.
///
/// Each commits at most every [`super::SPACING`], so this bounds the platform's
/// writes for claims, however many nodes there are.
pub const PARTITIONS: u16 = 16;

/// The hash of service, caller and idempotency key.
///
/// The caller is part of it: two callers may well choose the same key, and
/// neither may be given the other's answer.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey(u128);

impl ClaimKey {
    /// The key of a call.
    pub fn new(service: &str, caller: &str, key: &str) -> Self {
        let mut hasher = Sha256::new();
        for part in [service, caller, key] {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        let mut half = [0; 16];
        half.copy_from_slice(&hasher.finalize()[..16]);
        Self(u128::from_le_bytes(half))
    }

    /// The partition that the key belongs to.
    pub fn partition(self) -> u16 {
        (self.0 % u128::from(PARTITIONS)) as u16
    }

    /// What the home of its partition is found by.
    pub fn home(self) -> String {
        place(self.partition())
    }
}

impl std::fmt::Debug for ClaimKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:08x}", self.0 >> 96)
    }
}

/// The home of a partition among the nodes that serve.
pub fn home<'a>(partition: u16, serving: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    rank(&place(partition), serving).into_iter().next()
}

fn place(partition: u16) -> String {
    format!("claims/{partition}")
}
