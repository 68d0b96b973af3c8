//! Queries of operators, which only read state.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::de::DeserializeOwned;

use super::bundle_store::difference;
use super::{BundleStore, CommandError};
use crate::bundle::{Bundle, Envelope};
use crate::edge::http::JsonClient;

/// Timeout of a request to a node.
const NODE_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads and validates a bundle file.
pub fn check(path: &Path) -> Result<Bundle, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|e| CommandError::File {
        path: path.display().to_string(),
        reason: e.to_string(),
    })?;
    Ok(Bundle::parse(&path.display().to_string(), &text)?)
}

/// Returns the proposed bundle with a number, or the active bundle if no number is given.
pub async fn show(store: &BundleStore, number: Option<u64>) -> Result<Envelope, CommandError> {
    let (found, name) = match number {
        Some(number) => (store.proposed(number).await?.0, number.to_string()),
        None => (store.current().await?.0, "in force".to_owned()),
    };
    found.ok_or(CommandError::UnknownBundle(name))
}

/// Returns a unified diff from the active bundle to a proposed one.
pub async fn diff(store: &BundleStore, number: u64) -> Result<String, CommandError> {
    let proposed = show(store, Some(number)).await?;
    let current = store.current().await?.0;
    let text = current.map(|c| c.text).unwrap_or_default();
    Ok(difference(&text, &proposed.text))
}

/// Reads the state document `/v1/state/{what}` from the admin address of a node.
pub async fn state<T: DeserializeOwned>(node: SocketAddr, what: &str) -> Result<T, CommandError> {
    Ok(JsonClient::default().get(node, &format!("/v1/state/{what}"), NODE_TIMEOUT).await?)
}
