//! Requests of this node to other nodes: submissions and reads at the owner of a job, updates of
//! feeds, and the demand that the leader collects.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use super::messages::{FeedTopic, PeerReply, PeerRequest};
use crate::Name;
use crate::decide::WeightedScore;
use crate::decide::affinity::{self, OwnerCandidate};
use crate::decide::job::JobSpec;
use crate::edge::peer::{PeerError, ReplyStart};
use crate::edge::store::StoreError;
use crate::entry::app::App;
use crate::entry::follow::FeedReply;
use crate::entry::read::ReadResult;
use crate::entry::remote_jobs::{JobLocation, RemoteJob};
use crate::entry::shares::TermShares;
use crate::entry::submit::SubmitResult;

/// How long an owner may take to accept a job. It makes one write, which took a quarter of a second
/// in the slowest store seen.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(600);
/// How long a node may take to answer whether it has a job, or which demand it has.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a node may take to reply to a read, beyond the time for which it may wait.
const REPLY_MARGIN: Duration = Duration::from_millis(400);
/// How long another node may wait for a change before it replies. The failure of that node is
/// noticed this much later, and the time to drain is two or three seconds.
pub(in crate::entry) const MAX_UPDATE_WAIT: Duration = Duration::from_millis(1_000);
/// How long a node may take to reply with a snapshot, beyond the time for which it may wait for
/// one. The snapshot is in memory, and without a reply the store is read.
const SNAPSHOT_REPLY_MARGIN: Duration = Duration::from_millis(200);
/// How often the leader asks the owners of jobs for their demand. Steps come every few seconds.
const DEMAND_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// The same while a service is short of slots: the samples of a step end within a second, and the
/// slots that they leave go to others by the next shares.
const SHORT_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How long a node that did not reply gets no further requests. If it is gone, its lease ends
/// within two seconds.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(2_500);

/// The most nodes that are offered a job besides its preferred owner. Each may take
/// [`SUBMIT_TIMEOUT`], and a trainer waits a few seconds.
const MAX_OFFERS: usize = 2;

/// The outcome of forwarding a job to another node. The variant names appear in log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::entry) enum ForwardOutcome {
    /// The other node has accepted the job.
    Kept,
    /// The other node has not accepted the job.
    Not,
    /// The other node may have accepted the job.
    Unsure,
}

/// The reply to a request for a snapshot.
#[derive(Debug)]
pub(in crate::entry) enum SnapshotReply {
    /// The snapshot.
    Update(FeedReply),
    /// There are more keys than were asked for.
    TooLarge,
    /// The node has none, or did not reply.
    Nothing,
}

impl App {
    /// Forwards a job to the node that is preferred as its owner, if that is another one.
    pub(in crate::entry) async fn forward_job(&self, spec: &JobSpec) -> ForwardOutcome {
        let Some(to) = self.preferred_owner(spec) else { return ForwardOutcome::Not };
        self.send_job(to, spec).await
    }

    /// Sends a job to another node that is to own it.
    async fn send_job(&self, to: SocketAddr, spec: &JobSpec) -> ForwardOutcome {
        let reply = self.request(to, PeerRequest::Submit(spec.clone()), SUBMIT_TIMEOUT).await;
        let passed = match &reply {
            Ok(PeerReply::Submitted(SubmitResult::Accepted)) => ForwardOutcome::Kept,
            Ok(PeerReply::Submitted(SubmitResult::Refused(_))) => ForwardOutcome::Not,
            Err(PeerError::Connect { .. }) => ForwardOutcome::Not,
            Ok(_) | Err(_) => ForwardOutcome::Unsure,
        };
        if passed == ForwardOutcome::Kept {
            tracing::info!(event = "job_forwarded", job = %spec.id, %to);
        } else {
            tracing::info!(event = "job_not_forwarded", job = %spec.id, %to, ?passed, ?reply);
        }
        passed
    }

    /// Offers a job that neither its preferred owner nor this node takes to other machines that are
    /// large enough, at most [`MAX_OFFERS`], one after the other.
    pub(in crate::entry) async fn offer_job(&self, spec: &JobSpec) -> ForwardOutcome {
        let preferred = self.preferred_owner(spec);
        let offers = {
            let membership = self.membership.lock();
            let mut candidates = membership.owner_candidates();
            candidates.retain(|n| n.name != self.settings.name && n.capacity.may_own_jobs());
            let score = |n: &OwnerCandidate| {
                WeightedScore::new(&spec.id, &n.name, n.capacity.owner_weight())
            };
            candidates.sort_by_key(|n| std::cmp::Reverse(score(n)));
            let addresses = candidates.iter().filter_map(|n| membership.incarnation_of(&n.name));
            let addresses = addresses.map(|(_, to)| to).filter(|to| Some(*to) != preferred);
            addresses.collect::<Vec<_>>()
        };
        let reachable = offers.into_iter().filter(|to| !self.is_unreachable(*to));
        for to in reachable.take(MAX_OFFERS) {
            match self.send_job(to, spec).await {
                ForwardOutcome::Not => {}
                outcome => return outcome,
            }
        }
        ForwardOutcome::Not
    }

    /// Returns the address of the node that should own the jobs of a route. None if it is this
    /// node, is unknown or is unreachable.
    fn preferred_owner(&self, spec: &JobSpec) -> Option<SocketAddr> {
        let routes = self.routes()?;
        let route = routes.find(&spec.host, &spec.path)?;
        let membership = self.membership.lock();
        let owners =
            affinity::preferred_owners(&routes.batch_routes(), &membership.owner_candidates());
        let owner = owners.get(&route.name).filter(|owner| **owner != self.settings.name)?;
        let (_, to) = membership.incarnation_of(owner)?;
        drop(membership);
        (!self.is_unreachable(to)).then_some(to)
    }

    /// Reads results of a job from its owner. None if the owner does not reply or is this node.
    pub(in crate::entry) async fn read_from_owner(
        &self,
        job: &str,
        after: usize,
        wait: Duration,
    ) -> Result<Option<ReadResult>, StoreError> {
        let remote = self.remote_jobs.get(job);
        let Some(incarnation) = self.locate_owner(job, &remote).await? else { return Ok(None) };
        let Some(to) =
            self.membership.lock().peer_of(&incarnation).filter(|to| !self.is_unreachable(*to))
        else {
            return Ok(None);
        };
        let request = PeerRequest::Read { job: job.into(), after, wait };
        match self.request(to, request, wait + REPLY_MARGIN).await {
            Ok(PeerReply::Read(Some(read))) => Ok(Some(read)),
            // It no longer owns the job, or does not know whether its last write was done.
            Ok(_) => {
                remote.state.lock().location = JobLocation::Unknown;
                Ok(None)
            }
            Err(_) => Ok(None),
        }
    }

    /// Reads the body of a sample from the node that has its job. None if no such node replies.
    pub(in crate::entry) async fn body_from_owner(&self, job: &str, item: &str) -> Option<Bytes> {
        let remote = self.remote_jobs.get(job);
        let known = match &remote.state.lock().location {
            JobLocation::Owner { incarnation, .. } => Some(incarnation.clone()),
            JobLocation::Store | JobLocation::Unknown => None,
        };
        let incarnation = self.find_owner(job, known).await?;
        let to = self.membership.lock().peer_of(&incarnation)?;
        let request = PeerRequest::Body { job: job.into(), item: item.into() };
        match self.request(to, request, REPLY_MARGIN).await {
            Ok(PeerReply::Body(body)) => body,
            _ => None,
        }
    }

    /// Finds the incarnation of a node that has a job. Asks `known` if that is running, and
    /// otherwise the nodes that are preferred as owners of jobs. The owner confirms its ownership
    /// again with each reply, so a wrong answer does no harm.
    async fn find_owner(&self, job: &str, known: Option<Name>) -> Option<Name> {
        let owners = self.likely_owners(known);
        let requests =
            owners.into_iter().filter(|(_, to)| !self.is_unreachable(*to)).map(
                |(incarnation, to)| {
                    let reply =
                        self.peers.request(to, PeerRequest::OwnsJob(job.into()), QUERY_TIMEOUT);
                    async move {
                        matches!(reply.await, Ok(PeerReply::Found(true))).then_some(incarnation)
                    }
                },
            );
        let mut replies: FuturesUnordered<_> = requests.collect();
        while let Some(found) = replies.next().await {
            if found.is_some() {
                return found;
            }
        }
        None
    }

    /// Returns `known` if that incarnation is running, and otherwise the nodes that are preferred
    /// as owners of jobs.
    fn likely_owners(&self, known: Option<Name>) -> Vec<(Name, SocketAddr)> {
        let membership = self.membership.lock();
        if let Some(incarnation) = known
            && let Some(to) = membership.peer_of(&incarnation)
        {
            return vec![(incarnation, to)];
        }
        let routes = self.routes().map(|routes| routes.batch_routes()).unwrap_or_default();
        let owners = affinity::preferred_owners(&routes, &membership.owner_candidates());
        let others = owners.values().filter(|name| **name != self.settings.name);
        let mut likely: Vec<_> =
            others.filter_map(|name| membership.incarnation_of(name)).collect();
        likely.sort_unstable();
        likely.dedup();
        likely
    }

    /// Polls the preferred owners of jobs for their demand while this node is the leader, and sends
    /// them the shares of slots that it computed from the replies before. `fence` is the revision of
    /// the leader key that began the term. The last value of a node that does not reply is kept for
    /// the number of replicas; it gets no shares, and its slots go to others.
    pub(in crate::entry) async fn poll_demand(&self, fence: u64) {
        let mut shares = TermShares::new(fence);
        loop {
            tokio::time::sleep(match shares.any_short() {
                true => SHORT_POLL_INTERVAL,
                false => DEMAND_POLL_INTERVAL,
            })
            .await;
            let sent_at = self.now();
            let order_for =
                |node: &Name| shares.order_for(node, sent_at).filter(|_| self.holds_term(fence));
            if let Some(order) = order_for(&self.incarnation) {
                self.accept_shares(order);
            }
            let requests = self.likely_owners(None).into_iter().map(|(incarnation, to)| {
                let request = PeerRequest::Demand(order_for(&incarnation));
                self.peers.request(to, request, QUERY_TIMEOUT)
            });
            let replies = futures_util::future::join_all(requests).await;
            let now = self.now();
            let mut trainer_demand = vec![(self.incarnation.clone(), self.trainer_demand())];
            let (mut demand, mut load) = (self.demand.lock(), self.slot_load.lock());
            let mut record_load = |incarnation: &Name, wanted: Vec<(Name, u64)>| {
                wanted
                    .iter()
                    .for_each(|(service, total)| load.record(incarnation, service, *total, now));
            };
            record_load(&self.incarnation, self.slots.demand.totals());
            for reply in replies {
                let Ok(PeerReply::Demand { steps, life: incarnation, wanted, trainers }) = reply
                else {
                    continue;
                };
                steps.iter().for_each(|(model, step)| demand.record(model, *step, now));
                record_load(&incarnation, wanted);
                trainer_demand.push((incarnation, trainers));
            }
            drop((demand, load));
            shares.compute(trainer_demand, &self.slots, &self.tally, now);
        }
    }

    /// Returns the incarnation that owns a job, from its reply or the store since the last change
    /// that may have moved the job. None if the job is unknown or only the store has it.
    async fn locate_owner(
        &self,
        job: &str,
        remote: &RemoteJob,
    ) -> Result<Option<Name>, StoreError> {
        let evidence =
            (self.watch_gaps.load(Ordering::Relaxed), self.membership.lock().departures());
        match &remote.state.lock().location {
            JobLocation::Owner { incarnation, evidence: then } if *then == evidence => {
                return Ok(Some(incarnation.clone()));
            }
            JobLocation::Store => return Ok(None),
            JobLocation::Owner { .. } | JobLocation::Unknown => {}
        }
        let known = match &remote.state.lock().location {
            JobLocation::Owner { incarnation, .. } => Some(incarnation.clone()),
            JobLocation::Store | JobLocation::Unknown => None,
        };
        if let Some(incarnation) = self.find_owner(job, known).await {
            remote.state.lock().location =
                JobLocation::Owner { incarnation: incarnation.clone(), evidence };
            return Ok(Some(incarnation));
        }
        let Some(stored) = self.job_record(job).await? else { return Ok(None) };
        let mut state = remote.state.lock();
        state.sample_count = Some(stored.value.sample_count);
        if stored.value.ended {
            state.location = JobLocation::Store;
            state.ended = true;
            return Ok(None);
        }
        state.location =
            JobLocation::Owner { incarnation: stored.value.incarnation.clone(), evidence };
        Ok(Some(stored.value.incarnation))
    }

    /// Asks a node for the changes of a feed after a revision, for which it may wait. None if it
    /// does not have them. `start` says whether the reply is under way.
    pub(in crate::entry) async fn fetch_update_from(
        &self,
        to: SocketAddr,
        topic: FeedTopic,
        after: u64,
        wait: Duration,
        start: ReplyStart,
    ) -> Option<FeedReply> {
        let request = PeerRequest::Follow { topic, after, wait };
        match self.request_with_start(to, request, wait + REPLY_MARGIN, start).await {
            Ok(PeerReply::Followed(reply)) => reply,
            _ => None,
        }
    }

    /// Asks a node for a snapshot of a feed, of at most `max_keys`. The node may not be running yet,
    /// so it is not marked as unreachable if it does not reply.
    pub(in crate::entry) async fn fetch_snapshot_from(
        &self,
        to: SocketAddr,
        topic: FeedTopic,
        wait: Duration,
        max_keys: Option<usize>,
    ) -> SnapshotReply {
        let request = PeerRequest::Snapshot { topic, wait, max_keys };
        match self.peers.request(to, request, SNAPSHOT_REPLY_MARGIN + wait).await {
            Ok(PeerReply::Followed(Some(reply))) => SnapshotReply::Update(reply),
            Ok(PeerReply::TooLarge) => SnapshotReply::TooLarge,
            _ => SnapshotReply::Nothing,
        }
    }

    /// Sends a request. A node that does not reply gets no requests for [`UNREACHABLE_BACKOFF`].
    async fn request(
        &self,
        to: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        self.request_with_start(to, request, timeout, ReplyStart::default()).await
    }

    /// The same, and records in `start` when the reply begins to arrive.
    async fn request_with_start(
        &self,
        to: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
        start: ReplyStart,
    ) -> Result<PeerReply, PeerError> {
        let purpose = request.purpose();
        let reply = self.peers.request_with_start(to, request, timeout, start).await;
        if let Err(e) = &reply {
            self.tally.count_peer_failure(purpose);
            tracing::info!(event = "peer_not_reached", %to, asked = ?purpose, error = %e);
            let until = self.now() + UNREACHABLE_BACKOFF;
            self.unreachable_peers.lock().insert(to, until);
        }
        reply
    }

    /// Whether a node failed to reply a short while ago and should get no requests.
    pub(in crate::entry) fn is_unreachable(&self, to: SocketAddr) -> bool {
        let now = self.now();
        let mut unreachable = self.unreachable_peers.lock();
        unreachable.retain(|_, until| *until > now);
        unreachable.contains_key(&to)
    }
}
