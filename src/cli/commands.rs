//! Commands of operators that change state.

use std::path::Path;

use ed25519_dalek::SigningKey;

use super::{BundleStore, CommandError};
use crate::Name;
use crate::bundle::{Bundle, BundleError, Envelope, Operators, sign};

/// Generates a signing key, writes it to a new file that only its owner can read, and returns the
/// public key in hex. Fails if the file exists.
pub fn keygen(path: &Path) -> Result<String, CommandError> {
    let key = SigningKey::from_bytes(&rand::random());
    let fail = |e: std::io::Error| file_error(path, &e.to_string());
    let mut open = std::fs::OpenOptions::new();
    open.write(true).create_new(true);
    #[cfg(unix)]
    std::os::unix::fs::OpenOptionsExt::mode(&mut open, 0o600);
    let mut out = open.open(path).map_err(fail)?;
    let text = format!("{}\n", hex::encode(key.to_bytes()));
    std::io::Write::write_all(&mut out, text.as_bytes()).map_err(fail)?;
    Ok(hex::encode(key.verifying_key().to_bytes()))
}

/// Reads a signing key from a file.
pub fn read_key(path: &Path) -> Result<SigningKey, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|e| file_error(path, &e.to_string()))?;
    let bytes = hex::decode(text.trim()).map_err(|e| file_error(path, &e.to_string()))?;
    let bytes: [u8; 32] =
        bytes.try_into().map_err(|_| file_error(path, "expected a key of 64 hex digits"))?;
    Ok(SigningKey::from_bytes(&bytes))
}

/// Proposes the bundle in a file, signed by its author. Proposing the same text again as the same
/// author changes nothing.
pub async fn propose(
    store: &BundleStore,
    path: &Path,
    author: Name,
    key: &SigningKey,
) -> Result<Envelope, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|e| file_error(path, &e.to_string()))?;
    let bundle = Bundle::parse(&path.display().to_string(), &text)?;
    let mut envelope = Envelope {
        number: bundle.number,
        text,
        author: author.clone(),
        nonce: rand::random(),
        signatures: Vec::new(),
    };
    envelope.signatures.push(sign(author, key, &envelope.digest()));
    // A repeated proposal is not written again.
    if let (Some(found), _) = store.proposed(envelope.number).await?
        && found.author == envelope.author
        && found.digest() == envelope.digest()
    {
        return Ok(found);
    }
    store.propose(&envelope, 0).await?;
    Ok(envelope)
}

/// Adds the signature of an operator to a proposed bundle.
pub async fn sign_off(
    store: &BundleStore,
    number: u64,
    operator: Name,
    key: &SigningKey,
) -> Result<Envelope, CommandError> {
    let mut digest = None;
    loop {
        let (found, revision) = store.proposed(number).await?;
        let mut envelope = found.ok_or_else(|| CommandError::UnknownBundle(number.to_string()))?;
        envelope.check()?;
        let first = *digest.get_or_insert(envelope.digest());
        envelope.signatures.retain(|s| s.operator != operator);
        envelope.signatures.push(sign(operator.clone(), key, &envelope.digest()));
        envelope.nonce = rand::random();
        match store.propose(&envelope, revision).await {
            // Another operator signed the same text at the same time. Retries on top of that
            // write, so that both signatures are kept.
            Err(CommandError::Conflict { digest, .. }) if digest == hex::encode(first) => {}
            result => return result.map(|()| envelope),
        }
    }
}

/// Activates a proposed bundle that has the required signatures. Activating the active bundle
/// again changes nothing; a bundle that is not later is an error.
pub async fn apply(
    store: &BundleStore,
    number: u64,
    operators: &Operators,
) -> Result<Envelope, CommandError> {
    let (found, _) = store.proposed(number).await?;
    let mut envelope = found.ok_or_else(|| CommandError::UnknownBundle(number.to_string()))?;
    envelope.verify(operators)?;
    envelope.nonce = rand::random();
    let (current, revision) = store.current().await?;
    if let Some(current) = current
        && current.order() >= envelope.order()
    {
        if current.order() == envelope.order() {
            return Ok(current);
        }
        return Err(BundleError::NotLater { current: current.number, offered: number }.into());
    }
    store.apply(&envelope, revision).await?;
    Ok(envelope)
}

fn file_error(path: &Path, reason: &str) -> CommandError {
    CommandError::File { path: path.display().to_string(), reason: reason.to_owned() }
}
