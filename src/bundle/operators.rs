//! The operators who may sign a bundle, by their public keys.

use std::collections::BTreeMap;

use ed25519_dalek::VerifyingKey;

use crate::Name;
use crate::settings::{Section, SettingsError};

/// A text is not a public key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected an ed25519 public key, 64 hex digits")]
pub struct InvalidKey;

/// Parses a public key from hex.
pub fn parse_key(text: &str) -> Result<VerifyingKey, InvalidKey> {
    let bytes = hex::decode(text).map_err(|_| InvalidKey)?;
    let bytes: [u8; 32] = bytes.try_into().map_err(|_| InvalidKey)?;
    VerifyingKey::from_bytes(&bytes).map_err(|_| InvalidKey)
}

/// The public keys of operators, by name.
#[derive(Debug, Clone, Default)]
pub struct Operators {
    keys: BTreeMap<Name, VerifyingKey>,
}

impl Operators {
    /// Reads the section `[operators]`, which maps names to public keys. Two operators with the
    /// same key are an error.
    pub fn read(section: Section<'_>) -> Result<Self, SettingsError> {
        let mut operators = Self::default();
        for (name, hex) in section.entries() {
            let key =
                parse_key(hex).map_err(|e| section.invalid_value(&name, hex, e.to_string()))?;
            // With two names for one key a single operator could sign off a bundle alone.
            if let Some(other) = operators.name_of_key(&key) {
                let reason = format!("{other} has the same key");
                return Err(section.invalid_value(&name, hex, reason));
            }
            operators.add(name, key);
        }
        section.finish()?;
        Ok(operators)
    }

    /// Adds an operator.
    pub fn add(&mut self, name: Name, key: VerifyingKey) {
        self.keys.insert(name, key);
    }

    /// Returns the operator who has this key.
    pub fn name_of_key(&self, key: &VerifyingKey) -> Option<&Name> {
        self.keys.iter().find(|(_, k)| *k == key).map(|(name, _)| name)
    }

    /// Returns the key of an operator.
    pub fn key(&self, name: &str) -> Option<&VerifyingKey> {
        self.keys.get(name)
    }
}
