//! Values as the platform keeps them.

/// A value with the revision that wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedValue {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision of the last write.
    pub revision: u64,
}

/// The end of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapOutcome {
    /// It took effect, at this revision.
    Done(u64),
    /// Something else was there; it did not take effect.
    Conflict(Option<VersionedValue>),
    /// No reply: it may have taken effect. Read back to find out.
    Unknown(String),
    /// It was not sent, or was refused: it did not take effect.
    Unsent(String),
}
