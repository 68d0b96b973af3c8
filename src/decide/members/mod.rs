//! Membership: which nodes are alive, decided from gossip alone.
//!
//! Load pattern: hundreds of nodes, a few replaced each hour, now and then a
//! rack, zone or region lost at once, nodes that freeze and resume. Without gossip,
//! each node would count only the nodes that it reaches itself, one lossy link
//! would take a healthy node out of the answers, and a list of all nodes in
//! every message would exceed the budget for control traffic.

mod gossip;
mod gossip_effect;
mod state;
mod table;

pub use gossip::{Gossip, Heartbeat, MemberRecord, short_id};
pub use gossip_effect::GossipEffect;
pub use state::{Liveness, NodeState};
pub use table::MemberTable;
