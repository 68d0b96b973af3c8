//! One sample of a batch job, as it was submitted.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::Name;

/// The request that scores a finished text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scorer {
    /// Id of the scoring request.
    pub id: Name,
    /// Host that it is sent to.
    pub host: Name,
    /// Path that it is sent to.
    pub path: Name,
    /// Body of the request.
    pub body: Bytes,
}

/// The score of a text: the signature in the scorer's answer.
pub type Score = Name;

/// A sample to be generated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemSpec {
    /// Id of the sample, also used for its requests.
    pub id: Name,
    /// Path of the requests to replicas.
    pub path: Name,
    /// Headers of the requests to replicas.
    pub headers: Vec<(Name, Name)>,
    /// Body of the requests to replicas.
    pub body: Bytes,
    /// Name of its group. Samples of one group share their prompt.
    pub group: Name,
    /// The sender's estimate of its length in tokens, often far off.
    pub length_hint: Option<u64>,
    /// The request that scores its text; none for a sample without a score.
    pub scorer: Option<Scorer>,
}
