//! Membership: which nodes are there, decided from gossip alone.
//!
//! Load pattern: hundreds of nodes, a few replaced each hour, now and then a
//! rack, zone or region lost at once, nodes that freeze and thaw. Without it,
//! each node would count only the nodes that it reaches itself, one lossy link
//! would take a healthy node out of the answers, and a list of all nodes in
//! every message would outgrow the control budget.

mod gossip;
mod heard;
mod state;
mod table;

pub use gossip::{Beat, Gossip, News, id};
pub use heard::Heard;
pub use state::{NodeState, Standing};
pub use table::Members;
