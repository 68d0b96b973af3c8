//! A bundle with its digest and signatures, as the platform stores it.

use std::collections::BTreeSet;

use ed25519_dalek::{Signer, SigningKey, Verifier};
use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use sha2::{Digest, Sha256};

use super::{Bundle, Operators};
use crate::Name;
use crate::settings::SettingsError;

/// Number of different operators who must sign a bundle.
const REQUIRED_SIGNERS: usize = 2;

/// A bundle as it is proposed, stored and sent between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The bundle's number, the same as in the text.
    pub number: u64,
    /// The text that the operator wrote, byte for byte.
    pub text: String,
    /// The operator who proposed it.
    pub author: Name,
    /// A random number that identifies this write, so that it can be recognised after its reply
    /// was lost.
    pub nonce: u64,
    /// The signatures of operators over the digest.
    pub signatures: Vec<Signature>,
}

/// The signature of one operator.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signature {
    /// The operator.
    pub operator: Name,
    /// The ed25519 signature over the digest.
    #[serde_as(as = "Hex")]
    pub bytes: Vec<u8>,
}

/// Why an envelope is rejected.
#[derive(Debug, thiserror::Error)]
pub enum BundleError {
    /// The text is invalid.
    #[error(transparent)]
    Invalid(#[from] SettingsError),
    /// The envelope and the text have different numbers.
    #[error("the envelope says number {envelope}, the text says {text}")]
    NumberMismatch {
        /// The number in the envelope.
        envelope: u64,
        /// The number in the text.
        text: u64,
    },
    /// A signature names someone who is not an operator.
    #[error("{0} is not an operator")]
    UnknownOperator(Name),
    /// A signature is not valid for the digest and the key of its operator.
    #[error("the signature of {0} is not valid for this bundle")]
    InvalidSignature(Name),
    /// The active bundle is not earlier than the offered one.
    #[error("bundle {current} is active; bundle {offered} is not later")]
    NotLater {
        /// The number of the active bundle.
        current: u64,
        /// The number of the offered bundle.
        offered: u64,
    },
    /// Too few different operators have signed.
    #[error("{found} of {needed} operators have signed off; each counts once")]
    TooFewSignatures {
        /// The number of operators who have signed.
        found: usize,
        /// The number of operators who must sign.
        needed: usize,
    },
}

/// Signs a digest as `operator`.
pub fn sign(operator: Name, key: &SigningKey, digest: &[u8; 32]) -> Signature {
    Signature { operator, bytes: key.sign(digest).to_bytes().to_vec() }
}

impl Envelope {
    /// Returns the SHA-256 digest of the text.
    pub fn digest(&self) -> [u8; 32] {
        Sha256::digest(self.text.as_bytes()).into()
    }

    /// Returns the key of the total order of bundles: by number, then by digest.
    pub fn order(&self) -> (u64, [u8; 32]) {
        (self.number, self.digest())
    }

    /// Validates the text and its number, but not the signatures.
    pub fn check(&self) -> Result<Bundle, BundleError> {
        let bundle = Bundle::parse(&format!("bundle {}", self.number), &self.text)?;
        if bundle.number != self.number {
            return Err(BundleError::NumberMismatch { envelope: self.number, text: bundle.number });
        }
        Ok(bundle)
    }

    /// Validates the text, and verifies that every signature is valid and that two different
    /// operators have signed.
    pub fn verify(&self, operators: &Operators) -> Result<Bundle, BundleError> {
        let bundle = self.check()?;
        let digest = self.digest();
        let mut signers = BTreeSet::new();
        for signature in &self.signatures {
            let name = &signature.operator;
            let key =
                operators.key(name).ok_or_else(|| BundleError::UnknownOperator(name.clone()))?;
            let bytes = ed25519_dalek::Signature::from_slice(&signature.bytes)
                .map_err(|_| BundleError::InvalidSignature(name.clone()))?;
            key.verify(&digest, &bytes).map_err(|_| BundleError::InvalidSignature(name.clone()))?;
            signers.insert(name.clone());
        }
        if signers.len() < REQUIRED_SIGNERS {
            return Err(BundleError::TooFewSignatures {
                found: signers.len(),
                needed: REQUIRED_SIGNERS,
            });
        }
        Ok(bundle)
    }
}
