//! Values of the platform's key-value service, and the outcome of writing one.

/// A key and its value, with the revision of the last write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedValue {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision of the last write.
    pub revision: u64,
}

/// The outcome of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapOutcome {
    /// It took effect at this revision.
    Done(u64),
    /// The key had another revision, so nothing was written. Holds the current value.
    Conflict(Option<VersionedValue>),
    /// No reply, so it may have taken effect. Reading the key again shows that. Holds the reason.
    Unknown(String),
    /// It was not sent or was refused, so nothing was written. Holds the reason.
    Unsent(String),
}
