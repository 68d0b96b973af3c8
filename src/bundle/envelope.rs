//! A bundle with its digest and signatures, as the platform keeps it.

use std::collections::BTreeSet;

use ed25519_dalek::{Signer, SigningKey, Verifier};
use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use sha2::{Digest, Sha256};

use super::{Bundle, Operators};
use crate::Name;
use crate::settings::SettingsError;

/// Operators that have to sign a bundle.
const SIGNERS: usize = 2;

/// A bundle as it is proposed, kept and passed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The bundle's number, the same as in the text.
    pub number: u64,
    /// The text that the operator wrote, byte for byte.
    pub text: String,
    /// Who proposed it.
    pub author: Name,
    /// Told from every other write by this, when a reply was lost.
    pub nonce: u64,
    /// Sign-offs over the digest.
    pub signatures: Vec<Signature>,
}

/// One operator's sign-off.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signature {
    /// The operator.
    pub operator: Name,
    /// ed25519 over the digest.
    #[serde_as(as = "Hex")]
    pub bytes: Vec<u8>,
}

/// Why an envelope is not taken.
#[derive(Debug, thiserror::Error)]
pub enum BundleError {
    /// The text does not check.
    #[error(transparent)]
    Invalid(#[from] SettingsError),
    /// The envelope's number is not the text's.
    #[error("the envelope says number {envelope}, the text says {text}")]
    NumberMismatch {
        /// In the envelope.
        envelope: u64,
        /// In the text.
        text: u64,
    },
    /// A signature of someone who is no operator.
    #[error("{0} is not an operator")]
    UnknownOperator(Name),
    /// A signature that does not fit.
    #[error("the signature of {0} does not fit the bundle")]
    InvalidSignature(Name),
    /// A later bundle is in force.
    #[error("bundle {current} is in force; {offered} is not later")]
    NotLater {
        /// In force.
        current: u64,
        /// Offered.
        offered: u64,
    },
    /// Not enough operators signed.
    #[error("{found} of {needed} operators have signed off; each counts once")]
    TooFewSignatures {
        /// How many did.
        found: usize,
        /// How many have to.
        needed: usize,
    },
}

/// Signs a digest.
pub fn sign(operator: Name, key: &SigningKey, digest: &[u8; 32]) -> Signature {
    Signature { operator, bytes: key.sign(digest).to_bytes().to_vec() }
}

impl Envelope {
    /// SHA-256 over the text.
    pub fn digest(&self) -> [u8; 32] {
        Sha256::digest(self.text.as_bytes()).into()
    }

    /// The total order of bundles: by number, then by digest.
    pub fn order(&self) -> (u64, [u8; 32]) {
        (self.number, self.digest())
    }

    /// Checks the text alone, not the signatures.
    pub fn check(&self) -> Result<Bundle, BundleError> {
        let bundle = Bundle::parse(&format!("bundle {}", self.number), &self.text)?;
        if bundle.number != self.number {
            return Err(BundleError::NumberMismatch { envelope: self.number, text: bundle.number });
        }
        Ok(bundle)
    }

    /// Checks text and signatures: two different operators signed this text.
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
        if signers.len() < SIGNERS {
            return Err(BundleError::TooFewSignatures { found: signers.len(), needed: SIGNERS });
        }
        Ok(bundle)
    }
}
