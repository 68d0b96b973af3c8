//! The effect of a received message on the table.

/// What a received message changed, and what it says about its sender.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GossipEffect {
    /// A node appeared, disappeared or changed its state: this is to be passed on at once.
    pub changed: bool,
    /// Number of the bundle in force at the sender.
    pub bundle: u64,
    /// Short id of the sender; `None` for an empty message.
    pub sender: Option<u32>,
}
