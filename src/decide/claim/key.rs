//! Keys of claims, the partitions of the key space, and the owner of a partition.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::decide::rendezvous_rank;

/// Number of partitions of the key space.
///
/// Each partition commits at most every [`super::COMMIT_INTERVAL`], so this bounds the
/// platform's writes for claims, however many nodes there are.
pub const PARTITION_COUNT: u16 = 16;

/// The hash of service, caller and idempotency key.
///
/// The caller is part of it: two callers may choose the same key, and neither may get the
/// other's answer.
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
        (self.0 % u128::from(PARTITION_COUNT)) as u16
    }

    /// The rendezvous hash key by which the owner of the key's partition is found.
    pub fn placement_key(self) -> String {
        placement_key(self.partition())
    }
}

impl std::fmt::Debug for ClaimKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:08x}", self.0 >> 96)
    }
}

/// The owner of a partition among the serving nodes.
pub fn partition_owner<'a>(
    partition: u16,
    serving: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    rendezvous_rank(&placement_key(partition), serving).into_iter().next()
}

fn placement_key(partition: u16) -> String {
    format!("claims/{partition}")
}
