//! Organisations and their API keys.
//!
//! Keys are held as SHA-256 digests: neither logs nor messages between nodes can show one.

use std::collections::HashMap;

use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use sha2::{Digest, Sha256};

use crate::Name;

/// The longest organisation name that is part of a job's id as it is, in bytes. With its id the job
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

/// One organisation of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Its name, as replicas are told.
    pub name: Name,
    /// Its rank, which goes before that of a route; 0 first.
    pub priority: Option<u8>,
    /// The keys that act for it.
    pub keys: Vec<KeyDigest>,
}

/// A part of the organisations that can't be used. The rest is.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OrganisationFault {
    /// Two organisations hold one key: it acts for neither.
    #[error("organisations {0:?} and {1:?} hold the same key")]
    SharedKey(Name, Name),
    /// The name can't be sent in a header: its keys act for nobody.
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
    /// The organisations of a configuration, and what of them can't be used.
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

    /// Whom a key acts for.
    pub fn holder(&self, key: KeyDigest) -> Option<&Name> {
        self.by_key.get(&key)?.as_ref()
    }

    /// The rank of an organisation that has one of its own.
    pub fn priority(&self, organisation: &str) -> Option<u8> {
        self.priorities.get(organisation).copied()
    }
}

/// Whom a request acts for, by one version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Caller {
    /// The configuration has no organisations: anybody may call.
    Anyone,
    /// No organisation holds its key, or it has none.
    Unknown,
    /// This organisation.
    Organisation(Name),
}

impl Caller {
    /// The organisation that replicas are told.
    pub fn organisation(&self) -> Option<&Name> {
        match self {
            Self::Organisation(name) => Some(name),
            Self::Anyone | Self::Unknown => None,
        }
    }

    /// The id under which this service keeps a caller's job.
    ///
    /// Each organisation has ids of its own, so no lookup of another organisation can find the job. Only
    /// the first colon matters: an encoded name has none.
    pub fn job(&self, id: &str) -> Name {
        match self {
            Self::Anyone => id.into(),
            Self::Unknown => public_job(id),
            Self::Organisation(name) => format!("{}:{id}", scope(name)).into(),
        }
    }
}

/// The id under which a job that came without an organisation is kept, where there are organisations.
pub fn public_job(id: &str) -> Name {
    format!(":{id}").into()
}

fn scope(organisation: &str) -> String {
    if organisation.len() <= LONGEST_PLAIN {
        return utf8_percent_encode(organisation, NON_ALPHANUMERIC).to_string();
    }
    let digest = Sha256::digest(organisation.as_bytes());
    format!("~{}", hex::encode(&digest[..SHORTENED]))
}
