//! What an attempt asks of the fleet.

use crate::Name;

/// What an attempt asks for.
#[derive(Debug, Clone, Copy)]
pub struct AttemptRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// The model and the oldest version that will do.
    pub weights: Option<(&'a str, u64)>,
    /// Replicas that failed it.
    pub avoid: &'a [Name],
    /// Whether it may go where all places are taken.
    pub allow_full: bool,
}
