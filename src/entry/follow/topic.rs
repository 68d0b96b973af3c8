//! The prefixes of the store that a node follows, and for how long changes of each are batched.

use std::time::Duration;

use crate::entry::app::App;
use crate::entry::keys::MEMBERSHIP_PREFIX;
use crate::entry::peer::FeedTopic;
use crate::settings::EntrySettings;

/// How long before a departing replica must get no more work its report has to be seen here.
/// This leaves time for the answer of a store that is 60 times slower than usual, for an
/// attempt that is being sent, and for one more poll.
const REPORT_LEAD_TIME: Duration = Duration::from_millis(1_100);
/// For how long changes of nodes are batched. Short, because clients have to be sent to other
/// nodes soon after one leaves.
const NODE_BATCH_INTERVAL: Duration = Duration::from_millis(250);
/// For how long changes of the list of replicas are batched at least, and at most on a node
/// that runs jobs, whose samples need to know soon which replicas have new weights. An interval
/// of 1.9 s on those nodes too lowered the share of served requests, weighted by their value to
/// callers, from 0.60 to 0.56 in a fleet of 71 nodes under faults.
const REPLICA_BATCH_INTERVAL: Duration = Duration::from_millis(900);

/// A part of the store that a node follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::entry) enum Topic {
    /// The configuration.
    Routes,
    /// The weight versions that trainers announce. Only the leader follows them.
    Versions,
    /// The requests to empty machines.
    Retirements,
    /// The list of replicas.
    Replicas,
    /// The nodes and the leader.
    Nodes,
}

impl Topic {
    /// Returns the prefix of its keys in the store.
    pub(super) fn prefix(self, app: &App) -> String {
        match self {
            Self::Routes => app.schema.routes_prefix().to_owned(),
            Self::Versions => app.schema.versions_prefix().to_owned(),
            Self::Retirements => app.schema.retirements_prefix().to_owned(),
            Self::Replicas => app.schema.replicas_prefix().to_owned(),
            Self::Nodes => MEMBERSHIP_PREFIX.to_owned(),
        }
    }

    /// Waits before the next watch of the store after one has returned changes, so that further
    /// changes arrive in one batch: loading new weights changes the entry of every replica within
    /// a second, and each watch that returns is a call. The watch of routes never waits, so that
    /// one watch is always open and is cut when the store drops its history.
    pub(super) async fn batch_changes(self, app: &App) {
        match self {
            Self::Routes | Self::Versions | Self::Retirements => {}
            Self::Nodes => tokio::time::sleep(NODE_BATCH_INTERVAL).await,
            Self::Replicas => {
                tokio::time::sleep(REPLICA_BATCH_INTERVAL).await;
                // Other nodes depend on this one for changes.
                if app.watchers().is_some() {
                    return;
                }
                let longer = app
                    .settings
                    .drain_time
                    .saturating_sub(REPORT_LEAD_TIME + REPLICA_BATCH_INTERVAL);
                let _ = tokio::time::timeout(longer, app.owned_jobs.wait_for_work()).await;
            }
        }
    }

    /// Returns the feed by which other nodes may follow the topic here. None if they may not.
    pub(super) fn feed_topic(self) -> Option<FeedTopic> {
        match self {
            Self::Routes => Some(FeedTopic::Routes),
            Self::Replicas => Some(FeedTopic::Replicas),
            Self::Nodes => Some(FeedTopic::Nodes),
            Self::Versions | Self::Retirements => None,
        }
    }

    /// Returns how soon a change of it has to be in use on every node.
    pub(super) fn change_time(self, settings: &EntrySettings) -> Duration {
        match self {
            Self::Routes | Self::Versions | Self::Retirements => settings.apply_time,
            Self::Replicas | Self::Nodes => settings.drain_time,
        }
    }

    /// Returns its name in log lines.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Routes => "routes",
            Self::Versions => "versions",
            Self::Retirements => "retirements",
            Self::Replicas => "replicas",
            Self::Nodes => "live",
        }
    }
}
