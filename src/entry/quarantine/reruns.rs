//! Runs of a request that has crashed several replicas, with the consent of other nodes.
//!
//! Every such run is known to a majority of a group of nodes before it is sent, and a node that asks
//! learns what they know. So two nodes that ask at the same time do not both run it, and neither the
//! end of a node nor a lost message loses a run from the count.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;

use super::entry_quarantine::{EntryQuarantine, PEER_TIMEOUT, PeerState};
use crate::decide::quarantine::{CrashId, CrashNotice};
use crate::decide::rendezvous_rank;
use crate::entry::peer::{PeerReply, PeerRequest};

/// How many nodes are asked about the runs of one request. Three of them may be gone.
const GROUP_SIZE: usize = 7;

/// How long a node that is not registered any more still counts. After an outage of the store all
/// registrations end, and come back soon.
const DEPARTURE_TIME: Duration = Duration::from_millis(5_000);

/// How many nodes of a group have to know a run. One of two nodes goes on without the other.
fn quorum(group: usize) -> usize {
    if group == 2 { 1 } else { group / 2 + 1 }
}

impl EntryQuarantine {
    /// Returns what is known of a request.
    pub(in crate::entry) fn notices_of(&self, fingerprint: u64) -> Vec<CrashNotice> {
        self.state.lock().notices_of(fingerprint, self.now())
    }

    /// Whether a run may be sent: a majority of the nodes that are asked know it now, and none knows
    /// of a reason against it.
    pub(super) async fn confirm_rerun(&self, fingerprint: u64, id: &CrashId) -> bool {
        let (group, others) = self.ranked_peers(&format!("{fingerprint:016x}"), GROUP_SIZE);
        let notices = self.notices_of(fingerprint);
        let asked = others.len();
        let replies = join_all(others.into_iter().map(|to| {
            let request = PeerRequest::Rerun { fingerprint, notices: notices.clone() };
            self.ask(to, request)
        }))
        .await;
        let replies: Vec<Vec<CrashNotice>> = replies.into_iter().flatten().collect();
        let known = replies.len() + group.saturating_sub(asked);
        for notices in &replies {
            self.apply_notices(notices);
        }
        let confirmed =
            known >= quorum(group) && self.state.lock().confirm_rerun(fingerprint, id, self.now());
        tracing::info!(
            event = if confirmed { "rerun_granted" } else { "rerun_refused" },
            fingerprint = format!("{fingerprint:016x}"),
            run = id.number,
            asked,
            replies = replies.len(),
            group
        );
        confirmed
    }

    /// Records that a run was not sent, and tells the other nodes.
    pub(super) fn withdraw_rerun(&self, fingerprint: u64, id: &CrashId) {
        self.state.lock().withdraw_rerun(fingerprint, id, self.now());
        self.activate();
    }

    /// Tells the other nodes that a request has used up its runs.
    pub(super) fn stop_request(&self, fingerprint: u64) {
        let crashes = self.state.lock().crash_count(fingerprint);
        let fingerprint = format!("{fingerprint:016x}");
        tracing::warn!(event = "request_quarantined", fingerprint, crashes, reason = "used_up");
        self.activate();
    }

    /// Returns the number of nodes that rank first for a key, at most `count`, and the addresses of
    /// the others among them.
    pub(super) fn ranked_peers(&self, key: &str, count: usize) -> (usize, Vec<SocketAddr>) {
        let states = self.peer_states.lock();
        let now = self.now();
        let counts = |peer: &PeerState| {
            peer.departed_at.is_none_or(|at| now.saturating_sub(at) < DEPARTURE_TIME)
        };
        let registered = states.iter().filter(|(_, peer)| counts(peer));
        let names = registered.map(|(name, _)| &**name).chain([&*self.incarnation]);
        let mut ranked = rendezvous_rank(key, names);
        ranked.truncate(count);
        let others = ranked.iter().filter_map(|name| states.get(*name).map(|peer| peer.address));
        (ranked.len(), others.collect())
    }

    /// Asks one node, and returns what it knows.
    async fn ask(&self, to: SocketAddr, request: PeerRequest) -> Option<Vec<CrashNotice>> {
        let purpose = request.purpose();
        match self.peers.request(to, request, PEER_TIMEOUT).await {
            Ok(PeerReply::Reruns(notices)) => Some(notices),
            Ok(reply) => {
                tracing::warn!(event = "unexpected_reply", %to, ?reply);
                None
            }
            Err(error) => {
                self.tally.count_peer_failure(purpose);
                tracing::info!(event = "rerun_not_confirmed", %to, %error);
                None
            }
        }
    }
}
