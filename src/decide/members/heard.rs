//! What came of a message.

/// What a message changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Heard {
    /// A node came, went or changed its state: pass it on at once.
    pub changed: bool,
    /// Number of the bundle in force at the sender.
    pub bundle: u64,
    /// The sender in short; `None` for an empty message.
    pub sender: Option<u32>,
}
