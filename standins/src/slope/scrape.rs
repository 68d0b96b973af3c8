//! Reads the metrics of a daemon.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use http::Request;
use mulberrycourse::edge::http::{JsonClient, JsonClientError, empty_body, read_body};

/// Size limit of a `/metrics` response.
const MAX_METRICS_BYTES: usize = 4 << 20;

/// One reading of `/metrics`.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Scrape {
    /// The value of each series, by its name with labels.
    pub values: BTreeMap<String, f64>,
    /// The length of the response body, in bytes.
    pub bytes: usize,
}

impl Scrape {
    /// Reads `/metrics` at an admin address.
    pub async fn fetch(to: SocketAddr, client: &JsonClient) -> Result<Self, JsonClientError> {
        let mut request = Request::new(empty_body());
        *request.uri_mut() = format!("http://{to}/metrics").parse().unwrap_or_default();
        let response = client.send(to, request).await?;
        let bytes = read_body(response.into_body(), MAX_METRICS_BYTES).await;
        let bytes =
            bytes.map_err(|e| JsonClientError::Interrupted { to, reason: e.to_string() })?;
        let text = String::from_utf8_lossy(&bytes);
        let parse_line = |line: &str| {
            let (series, value) = line.rsplit_once(' ')?;
            Some((series.to_owned(), value.parse().ok()?))
        };
        let values = text.lines().filter(|l| !l.starts_with('#')).filter_map(parse_line).collect();
        Ok(Self { values, bytes: bytes.len() })
    }

    /// Returns the value of a series, or 0 if it does not exist.
    pub fn get(&self, series: &str) -> f64 {
        self.values.get(series).copied().unwrap_or(0.0)
    }

    /// Returns the increase of every counter since an earlier scrape.
    pub fn since(&self, earlier: &Self) -> BTreeMap<String, f64> {
        let counters = self.values.iter().filter(|(k, _)| k.contains("_total"));
        counters.map(|(k, v)| (k.clone(), v - earlier.get(k))).collect()
    }
}
