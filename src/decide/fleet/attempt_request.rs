//! The requirements of an attempt on its replica.

use crate::Name;
use crate::decide::load::TextLength;

/// The requirements of an attempt on its replica.
#[derive(Debug, Clone, Copy)]
pub struct AttemptRequest<'a> {
    /// The service that the replica belongs to.
    pub service: &'a str,
    /// The model and its minimum version; none if any replica of the service will do.
    pub weights: Option<(&'a str, u64)>,
    /// Replicas at which earlier attempts failed; they are chosen last.
    pub avoid: &'a [Name],
    /// The length of the text; unknown for requests without weights.
    pub length: TextLength,
    /// Whether a replica without a free slot may be chosen.
    pub allow_full: bool,
    /// Whether the replica with the fewest requests is chosen, as the attempt may crash it.
    pub apart: bool,
}
