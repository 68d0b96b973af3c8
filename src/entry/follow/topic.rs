//! What is followed in the store, and how long changes of it are gathered.

use std::time::Duration;

use crate::entry::app::App;
use crate::entry::keys::MEMBERSHIP_PREFIX;
use crate::entry::peer::FeedTopic;

/// How long before work must have stopped going to a replica that leaves its report has to
/// be seen here: for the answer of a store that is sixty times as slow as usual, an attempt
/// on its way, and one look more.
const AHEAD: Duration = Duration::from_millis(1_100);
/// For how long changes of nodes are gathered: clients are to be sent elsewhere soon.
const LIVE_GATHER: Duration = Duration::from_millis(250);
/// For how long changes of the list of replicas are gathered at least, and at most where a
/// job runs: its samples want to know soon which replicas have new weights. Gathered for
/// 1.9 s at homes as well, 71 nodes in trouble served 0.56 instead of 0.60 of what was asked,
/// weighted by its worth to callers (means of six and twelve plays).
const GATHER: Duration = Duration::from_millis(900);

/// What is followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::entry) enum Topic {
    /// The configuration.
    Routes,
    /// The versions that trainers name; only who gives orders follows them.
    Versions,
    /// The machines that are to be emptied.
    Retirements,
    /// The list of replicas.
    Replicas,
    /// Nodes and the holder of orders.
    Nodes,
}

impl Topic {
    /// Its prefix in the store.
    pub(super) fn prefix(self, app: &App) -> String {
        match self {
            Self::Routes => app.notices.routes().to_owned(),
            Self::Versions => app.notices.versions().to_owned(),
            Self::Retirements => app.notices.retirements().to_owned(),
            Self::Replicas => app.notices.replicas().to_owned(),
            Self::Nodes => MEMBERSHIP_PREFIX.to_owned(),
        }
    }

    /// Gathers changes for a while after some came by an own watch: a round of loads changes
    /// every replica's entry within a second, and each return of a watch is a call. The watch
    /// of routes never rests, so that one watch is always there to be cut when the store
    /// drops its history.
    pub(super) async fn rest(self, app: &App) {
        match self {
            Self::Routes | Self::Versions | Self::Retirements => {}
            Self::Nodes => tokio::time::sleep(LIVE_GATHER).await,
            Self::Replicas => {
                tokio::time::sleep(GATHER).await;
                // Others hear of changes here.
                if app.watchers().is_some() {
                    return;
                }
                let longer = app.settings.drain_time.saturating_sub(AHEAD + GATHER);
                let _ = tokio::time::timeout(longer, app.owned_jobs.wait_for_work()).await;
            }
        }
    }

    /// What other nodes may follow of it.
    pub(super) fn followed(self) -> Option<FeedTopic> {
        match self {
            Self::Routes => Some(FeedTopic::Routes),
            Self::Replicas => Some(FeedTopic::Replicas),
            Self::Nodes => Some(FeedTopic::Nodes),
            Self::Versions | Self::Retirements => None,
        }
    }

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
