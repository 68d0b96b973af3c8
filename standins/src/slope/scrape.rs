//! What the `/metrics` of a daemon say.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use http::Request;
use mulberrycourse::edge::http::{JsonClient, JsonClientError, empty_body, read_body};

/// The largest answer of `/metrics`, in bytes.
const LIMIT: usize = 4 << 20;

/// The series of `/metrics` with their values.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Scrape {
    /// The values by series.
    pub values: BTreeMap<String, f64>,
    /// The length of the text, in bytes.
    pub bytes: usize,
}

impl Scrape {
    /// Reads `/metrics` from an admin address.
    pub async fn of(to: SocketAddr, fetch: &JsonClient) -> Result<Self, JsonClientError> {
        let mut request = Request::new(empty_body());
        *request.uri_mut() = format!("http://{to}/metrics").parse().unwrap_or_default();
        let response = fetch.send(to, request).await?;
        let bytes = read_body(response.into_body(), LIMIT).await;
        let bytes =
            bytes.map_err(|e| JsonClientError::Interrupted { to, reason: e.to_string() })?;
        let text = String::from_utf8_lossy(&bytes);
        let pair = |line: &str| {
            let (series, value) = line.rsplit_once(' ')?;
            Some((series.to_owned(), value.parse().ok()?))
        };
        let values = text.lines().filter(|l| !l.starts_with('#')).filter_map(pair).collect();
        Ok(Self { values, bytes: bytes.len() })
    }

    /// The value of a series, 0 if it is not there.
    pub fn get(&self, series: &str) -> f64 {
        self.values.get(series).copied().unwrap_or(0.0)
    }

    /// What has been added since an earlier scrape, for all series of counters.
    pub fn since(&self, earlier: &Self) -> BTreeMap<String, f64> {
        let counters = self.values.iter().filter(|(k, _)| k.contains("_total"));
        counters.map(|(k, v)| (k.clone(), v - earlier.get(k))).collect()
    }
}
