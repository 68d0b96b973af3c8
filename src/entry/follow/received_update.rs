//! An update of a feed as it was received from another node.

use std::net::SocketAddr;
use std::time::Duration;

use super::feed::{FeedReply, FeedUpdate};
use crate::edge::store::{RangeResult, WatchBatch};

/// An update that another node has sent.
#[derive(Debug)]
pub(super) struct PeerUpdate {
    pub(super) from: SocketAddr,
    /// Its size, in bytes of values or of the packed snapshot.
    pub(super) bytes: usize,
    /// How long ago the sender's copy was last confirmed by the store.
    pub(super) age: Duration,
    pub(super) update: ReceivedUpdate,
}

/// The contents of an update.
#[derive(Debug)]
pub(super) enum ReceivedUpdate {
    /// Everything under the prefix.
    Snapshot(RangeResult),
    /// The changes since a revision.
    Changes(WatchBatch),
    /// The changes since a revision, after a gap in the watch of the sender.
    CatchUp(WatchBatch),
}

impl PeerUpdate {
    /// Unpacks an update. None if it does not decode; that is logged.
    pub(super) fn unpack(from: SocketAddr, reply: FeedReply) -> Option<Self> {
        let FeedReply { update, age } = reply;
        let bytes = update.bytes();
        let update = match update {
            FeedUpdate::Changes(watched) => ReceivedUpdate::Changes(watched),
            FeedUpdate::CatchUp(watched) => ReceivedUpdate::CatchUp(watched),
            FeedUpdate::Snapshot(page) => match page.unpack() {
                Ok(page) => ReceivedUpdate::Snapshot(page),
                Err(e) => {
                    tracing::error!(event = "snapshot_unreadable", %from, bytes, error = %e);
                    return None;
                }
            },
        };
        Some(Self { from, bytes, age, update })
    }
}
