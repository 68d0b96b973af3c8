//! One sample of a batch job, as it was submitted.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::Name;

/// The request that scores a finished text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scorer {
    /// Its request id.
    pub id: Name,
    /// Its host.
    pub host: Name,
    /// Its path.
    pub path: Name,
    /// Its body.
    pub body: Bytes,
}

/// The score of a text: the signature under the scorer's answer.
pub type Score = Name;

/// A sample to be made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemSpec {
    /// Its id, also that of its requests.
    pub id: Name,
    /// The path that is asked.
    pub path: Name,
    /// The headers that go with it.
    pub headers: Vec<(Name, Name)>,
    /// The body.
    pub body: Bytes,
    /// Samples of one group share their prompt.
    pub group: Name,
    /// The sender's estimate of the tokens that it comes to, often far off.
    pub length_hint: Option<u64>,
    /// Who scores it; none for a sample without a score.
    pub scorer: Option<Scorer>,
}
