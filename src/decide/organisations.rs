//! Organisations and their API keys.
//!
//! Only SHA-256 digests of keys are stored, so neither logs nor messages between nodes can
//! reveal a key.

use std::collections::HashMap;

use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use sha2::{Digest, Sha256};

use crate::Name;

/// Maximum length of an organisation name, in bytes, that is part of a job's id without being
/// shortened: the name and the caller's id together have to fit into a key of the store.
const MAX_PLAIN_NAME_BYTES: usize = 40;
/// Bytes of the digest that replaces a longer name.
const NAME_DIGEST_BYTES: usize = 16;

/// The digest of an API key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key's bytes.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyDigest")
    }
}

/// One organisation of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Its name, which is sent to replicas.
    pub name: Name,
    /// Its priority, which overrides that of a route; 0 is highest.
    pub priority: Option<u8>,
    /// Its keys. A request with one of them acts for the organisation.
    pub keys: Vec<KeyDigest>,
}

/// A part of the organisations that can't be used. The other parts are used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OrganisationFault {
    /// Two organisations hold the same key, which acts for neither.
    #[error("organisations {0:?} and {1:?} hold the same key")]
    SharedKey(Name, Name),
    /// The name can't be sent in a header; the organisation's keys act for nobody.
    #[error("the name {0:?} is empty or not visible ASCII")]
    BadName(Name),
}

/// All organisations of one version of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Organisations {
    /// The organisation of each key; none for a key that two of them hold.
    by_key: HashMap<KeyDigest, Option<Name>>,
    priorities: HashMap<Name, u8>,
}

impl Organisations {
    /// Builds the table of a configuration's organisations. Also returns the parts that can't be
    /// used.
    pub fn new(organisations: Vec<Organisation>) -> (Self, Vec<OrganisationFault>) {
        let (mut table, mut faults) = (Self::default(), Vec::new());
        for organisation in organisations {
            if organisation.name.is_empty()
                || !organisation.name.bytes().all(|b| b.is_ascii_graphic())
            {
                faults.push(OrganisationFault::BadName(organisation.name));
                continue;
            }
            for key in organisation.keys {
                let held =
                    table.by_key.entry(key).or_insert_with(|| Some(organisation.name.clone()));
                if let Some(other) = held.as_ref().filter(|other| **other != organisation.name) {
                    faults.push(OrganisationFault::SharedKey(
                        other.clone(),
                        organisation.name.clone(),
                    ));
                    *held = None;
                }
            }
            if let Some(priority) = organisation.priority {
                table.priorities.insert(organisation.name, priority);
            }
        }
        (table, faults)
    }

    /// Returns the organisation that a key acts for.
    pub fn holder(&self, key: KeyDigest) -> Option<&Name> {
        self.by_key.get(&key)?.as_ref()
    }

    /// Returns the priority of an organisation, if it has one of its own.
    pub fn priority(&self, organisation: &str) -> Option<u8> {
        self.priorities.get(organisation).copied()
    }
}

/// The organisation that a request acts for, by one version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Caller {
    /// The configuration has no organisations, so anybody may call.
    Anyone,
    /// The request has no key, or one that no organisation holds.
    Unknown,
    /// The organisation that holds the request's key.
    Organisation(Name),
}

impl Caller {
    /// Returns the organisation whose name is sent to replicas.
    pub fn organisation(&self) -> Option<&Name> {
        match self {
            Self::Organisation(name) => Some(name),
            Self::Anyone | Self::Unknown => None,
        }
    }

    /// Returns the id under which this service stores a caller's job.
    ///
    /// Each organisation has ids of its own, so no lookup by another organisation can find the
    /// job. Only the first colon separates: an encoded name has none.
    pub fn job_id(&self, id: &str) -> Name {
        match self {
            Self::Anyone => id.into(),
            Self::Unknown => public_job(id),
            Self::Organisation(name) => format!("{}:{id}", id_scope(name)).into(),
        }
    }
}

/// Returns the id under which a job without an organisation is stored, in a configuration that
/// has organisations.
pub fn public_job(id: &str) -> Name {
    format!(":{id}").into()
}

/// Returns the prefix that separates the job ids of an organisation from those of others.
fn id_scope(organisation: &str) -> String {
    if organisation.len() <= MAX_PLAIN_NAME_BYTES {
        return utf8_percent_encode(organisation, NON_ALPHANUMERIC).to_string();
    }
    let digest = Sha256::digest(organisation.as_bytes());
    format!("~{}", hex::encode(&digest[..NAME_DIGEST_BYTES]))
}
