//! Tenants and their API keys.
//!
//! Keys are held as SHA-256 digests: neither logs nor messages between nodes can show one.

use std::collections::HashMap;

use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use sha2::{Digest, Sha256};

use crate::Name;

/// The longest tenant name that is part of a job's id as it is, in bytes. With its id the job
/// has to fit a key of the store.
const LONGEST_PLAIN: usize = 40;
/// Bytes of the digest that stands for a longer name.
const SHORTENED: usize = 16;

/// The digest of an API key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key's bytes.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyDigest")
    }
}

/// One tenant of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenant {
    /// Its name, as replicas are told.
    pub name: Name,
    /// Its rank, which goes before that of a route; 0 first.
    pub priority: Option<u8>,
    /// The keys that act for it.
    pub keys: Vec<KeyDigest>,
}

/// A part of the tenants that can't be used. The rest is.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TenantFault {
    /// Two tenants hold one key: it acts for neither.
    #[error("tenants {0:?} and {1:?} hold the same key")]
    SharedKey(Name, Name),
    /// The name can't be sent in a header: its keys act for nobody.
    #[error("the name {0:?} is empty or not visible ASCII")]
    BadName(Name),
}

/// All tenants of one version of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tenants {
    /// The tenant of each key; none for a key that two of them hold.
    by_key: HashMap<KeyDigest, Option<Name>>,
    priorities: HashMap<Name, u8>,
}

impl Tenants {
    /// The tenants of a configuration, and what of them can't be used.
    pub fn new(tenants: Vec<Tenant>) -> (Self, Vec<TenantFault>) {
        let (mut table, mut faults) = (Self::default(), Vec::new());
        for tenant in tenants {
            if tenant.name.is_empty() || !tenant.name.bytes().all(|b| b.is_ascii_graphic()) {
                faults.push(TenantFault::BadName(tenant.name));
                continue;
            }
            for key in tenant.keys {
                let held = table.by_key.entry(key).or_insert_with(|| Some(tenant.name.clone()));
                if let Some(other) = held.as_ref().filter(|other| **other != tenant.name) {
                    faults.push(TenantFault::SharedKey(other.clone(), tenant.name.clone()));
                    *held = None;
                }
            }
            if let Some(priority) = tenant.priority {
                table.priorities.insert(tenant.name, priority);
            }
        }
        (table, faults)
    }

    /// Whom a key acts for.
    pub fn holder(&self, key: KeyDigest) -> Option<&Name> {
        self.by_key.get(&key)?.as_ref()
    }

    /// The rank of a tenant that has one of its own.
    pub fn priority(&self, tenant: &str) -> Option<u8> {
        self.priorities.get(tenant).copied()
    }
}

/// Whom a request acts for, by one version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Caller {
    /// The configuration has no tenants: anybody may call.
    Anyone,
    /// No tenant holds its key, or it has none.
    Unknown,
    /// This tenant.
    Tenant(Name),
}

impl Caller {
    /// The tenant that replicas are told.
    pub fn tenant(&self) -> Option<&Name> {
        match self {
            Self::Tenant(name) => Some(name),
            Self::Anyone | Self::Unknown => None,
        }
    }

    /// The id under which this service keeps a caller's job.
    ///
    /// Each tenant has ids of its own, so no lookup of another tenant can find the job. Only
    /// the first colon matters: an encoded name has none.
    pub fn job(&self, id: &str) -> Name {
        match self {
            Self::Anyone => id.into(),
            Self::Unknown => public_job(id),
            Self::Tenant(name) => format!("{}:{id}", scope(name)).into(),
        }
    }
}

/// The id under which a job that came without a tenant is kept, where there are tenants.
pub fn public_job(id: &str) -> Name {
    format!(":{id}").into()
}

fn scope(tenant: &str) -> String {
    if tenant.len() <= LONGEST_PLAIN {
        return utf8_percent_encode(tenant, NON_ALPHANUMERIC).to_string();
    }
    let digest = Sha256::digest(tenant.as_bytes());
    format!("~{}", hex::encode(&digest[..SHORTENED]))
}
