//! Submissions and reads at the node that is home to a job.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use super::messages::{FeedTopic, PeerReply, PeerRequest};
use crate::Name;
use crate::decide::affinity;
use crate::decide::job::JobSpec;
use crate::edge::peer::PeerError;
use crate::edge::store::StoreError;
use crate::entry::app::App;
use crate::entry::follow::FeedUpdate;
use crate::entry::read::Read;
use crate::entry::remote_jobs::{JobLocation, RemoteJob};
use crate::entry::submit::Submitted;

/// How long a home may take to accept a job: one write, in the slowest store that was seen
/// a quarter of a second.
const SUBMIT: Duration = Duration::from_millis(600);
/// How long a node may take to say whether it has a job.
const FIND: Duration = Duration::from_millis(150);
/// How much longer than it may wait a home may take to answer a read.
const READ: Duration = Duration::from_millis(400);
/// How long another node may wait for a change: its silence is found this much later, and
/// the time to drain is two or three seconds.
const FOLLOW: Duration = Duration::from_millis(1_000);
/// How long a node may take to say all that it believes to one that starts, beside the time
/// that it may wait for it: it has it at hand, and without an answer the store is asked.
const WHOLE: Duration = Duration::from_millis(200);
/// How often homes are asked what their steps bring: steps come every few seconds.
const DEMAND: Duration = Duration::from_secs(1);
/// How long a node that did not answer is not asked: its lease ends within two seconds.
const SHUNNED: Duration = Duration::from_millis(2_500);

/// What became of a job that was handed to another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::entry) enum ForwardOutcome {
    /// It is kept there.
    Kept,
    /// It is not.
    Not,
    /// It may be.
    Unsure,
}

impl App {
    /// Hands a job to the node that is to be its home, if that is another one.
    pub(in crate::entry) async fn forward_job(&self, spec: &JobSpec) -> ForwardOutcome {
        let Some(to) = self.preferred(spec) else { return ForwardOutcome::Not };
        let reply = self.ask(to, PeerRequest::Submit(spec.clone()), SUBMIT).await;
        let passed = match &reply {
            Ok(PeerReply::Submitted(Submitted::Kept)) => ForwardOutcome::Kept,
            Ok(PeerReply::Submitted(Submitted::Refused(_))) => ForwardOutcome::Not,
            Err(PeerError::Connect { .. }) => ForwardOutcome::Not,
            Ok(_) | Err(_) => ForwardOutcome::Unsure,
        };
        if passed == ForwardOutcome::Kept {
            tracing::info!(event = "job_passed_on", job = %spec.id, %to);
        } else {
            tracing::info!(event = "job_not_passed_on", job = %spec.id, %to, ?passed, ?reply);
        }
        passed
    }

    /// Where the jobs of a route are to run; none for this node.
    fn preferred(&self, spec: &JobSpec) -> Option<SocketAddr> {
        let routes = self.routes()?;
        let route = routes.find(&spec.host, &spec.path)?;
        let nodes = self.membership.lock().peers();
        let names: Vec<Name> = nodes.keys().cloned().collect();
        let homes = affinity::preferred_homes(&routes.batch(), &names);
        let home = homes.get(&route.name).filter(|home| **home != self.settings.name)?;
        let to = *nodes.get(home)?;
        (!self.is_unreachable(to)).then_some(to)
    }

    /// Reads at a job's home; none if that does not answer, or is this node.
    pub(in crate::entry) async fn read_at_home(
        &self,
        job: &str,
        after: usize,
        wait: Duration,
    ) -> Result<Option<Read>, StoreError> {
        let view = self.remote_jobs.get(job);
        let Some(life) = self.at(job, &view).await? else { return Ok(None) };
        let Some(to) = self.membership.lock().peer(&life).filter(|to| !self.is_unreachable(*to))
        else {
            return Ok(None);
        };
        let ask = PeerRequest::Read { job: job.into(), after, wait };
        match self.ask(to, ask, wait + READ).await {
            Ok(PeerReply::Read(Some(read))) => Ok(Some(read)),
            // It is home no more, or does not know what its last write came to.
            Ok(_) => {
                view.state.lock().location = JobLocation::Unknown;
                Ok(None)
            }
            Err(_) => Ok(None),
        }
    }

    /// The body of a sample from the node that has its job; none where that can't be asked.
    pub(in crate::entry) async fn body_at_home(&self, job: &str, item: &str) -> Option<Bytes> {
        let view = self.remote_jobs.get(job);
        let known = match &view.state.lock().location {
            JobLocation::Home { life, .. } => Some(life.clone()),
            JobLocation::Store | JobLocation::Unknown => None,
        };
        let life = self.find(job, known).await?;
        let to = self.membership.lock().peer(&life)?;
        let ask = PeerRequest::Body { job: job.into(), item: item.into() };
        match self.ask(to, ask, READ).await {
            Ok(PeerReply::Body(body)) => body,
            _ => None,
        }
    }

    /// The life of a node that says it has a job: the one that had it, or one that jobs of a
    /// route are handed to. It answers for itself, so nothing depends on this.
    async fn find(&self, job: &str, known: Option<Name>) -> Option<Name> {
        let asked = self.likely_homes(known);
        let asks =
            asked.into_iter().filter(|(_, to)| !self.is_unreachable(*to)).map(|(life, to)| {
                let ask = self.peers.ask(to, PeerRequest::OwnsJob(job.into()), FIND);
                async move { matches!(ask.await, Ok(PeerReply::Found(true))).then_some(life) }
            });
        let mut asks: FuturesUnordered<_> = asks.collect();
        while let Some(found) = asks.next().await {
            if found.is_some() {
                return found;
            }
        }
        None
    }

    fn likely_homes(&self, known: Option<Name>) -> Vec<(Name, SocketAddr)> {
        let live = self.membership.lock();
        if let Some(life) = known
            && let Some(to) = live.peer(&life)
        {
            return vec![(life, to)];
        }
        let names: Vec<Name> = live.peers().keys().cloned().collect();
        let routes = self.routes().map(|routes| routes.batch()).unwrap_or_default();
        let homes = affinity::preferred_homes(&routes, &names);
        let others = homes.values().filter(|name| **name != self.settings.name);
        let mut likely: Vec<_> = others.filter_map(|name| live.life(name)).collect();
        likely.dedup();
        likely
    }

    /// Asks the homes of the routes what their steps bring, for as long as this node gives
    /// orders. What is not heard keeps its last value.
    pub(in crate::entry) async fn poll_demand(&self) {
        loop {
            tokio::time::sleep(DEMAND).await;
            let asks = self
                .likely_homes(None)
                .into_iter()
                .map(|(_, to)| async move { self.peers.ask(to, PeerRequest::Demand, FIND).await });
            let heard = futures_util::future::join_all(asks).await;
            let now = self.now();
            let (mut demand, mut load) = (self.demand.lock(), self.load.lock());
            let mut note = |life: &Name, wanted: Vec<(Name, u64)>| {
                wanted.iter().for_each(|(service, total)| load.note(life, service, *total, now));
            };
            note(&self.incarnation, self.slots.wanted.totals());
            for reply in heard {
                let Ok(PeerReply::Demand { steps, life, wanted }) = reply else { continue };
                steps.iter().for_each(|(model, work)| demand.note(model, *work, now));
                note(&life, wanted);
            }
        }
    }

    /// The life that is home to a job, from what the store said since nodes last went.
    async fn at(&self, job: &str, view: &RemoteJob) -> Result<Option<Name>, StoreError> {
        let sure = (self.watch_gaps.load(Ordering::Relaxed), self.membership.lock().departures());
        match &view.state.lock().location {
            JobLocation::Home { life, sure: then } if *then == sure => {
                return Ok(Some(life.clone()));
            }
            JobLocation::Store => return Ok(None),
            JobLocation::Home { .. } | JobLocation::Unknown => {}
        }
        let known = match &view.state.lock().location {
            JobLocation::Home { life, .. } => Some(life.clone()),
            JobLocation::Store | JobLocation::Unknown => None,
        };
        if let Some(life) = self.find(job, known).await {
            view.state.lock().location = JobLocation::Home { life: life.clone(), sure };
            return Ok(Some(life));
        }
        let Some(seen) = self.home_of(job).await? else { return Ok(None) };
        let mut state = view.state.lock();
        state.sample_count = Some(seen.value.total);
        if seen.value.ended {
            state.location = JobLocation::Store;
            state.ended = true;
            return Ok(None);
        }
        state.location = JobLocation::Home { life: seen.value.life.clone(), sure };
        Ok(Some(seen.value.life))
    }

    /// Asks a node for changes after a revision; none if it can't say.
    pub(in crate::entry) async fn fetch_update_from(
        &self,
        to: SocketAddr,
        followed: FeedTopic,
        after: u64,
    ) -> Option<FeedUpdate> {
        let ask = PeerRequest::Follow { followed, after, wait: FOLLOW };
        match self.ask(to, ask, FOLLOW + READ).await {
            Ok(PeerReply::Followed(news)) => news,
            _ => None,
        }
    }

    /// Asks a node that may not be there for all of what it believes.
    pub(in crate::entry) async fn fetch_snapshot_from(
        &self,
        to: SocketAddr,
        followed: FeedTopic,
        wait: Duration,
    ) -> Option<FeedUpdate> {
        match self.peers.ask(to, PeerRequest::Snapshot { followed, wait }, WHOLE + wait).await {
            Ok(PeerReply::Followed(news)) => news,
            _ => None,
        }
    }

    async fn ask(
        &self,
        to: SocketAddr,
        ask: PeerRequest,
        limit: Duration,
    ) -> Result<PeerReply, PeerError> {
        let purpose = ask.purpose();
        let reply = self.peers.ask(to, ask, limit).await;
        if let Err(e) = &reply {
            self.tally.peer_given_up(purpose);
            tracing::info!(event = "peer_not_reached", %to, asked = ?purpose, error = %e);
            let until = self.now() + SHUNNED;
            self.unreachable_peers.lock().insert(to, until);
        }
        reply
    }

    pub(in crate::entry) fn is_unreachable(&self, to: SocketAddr) -> bool {
        let now = self.now();
        let mut shunned = self.unreachable_peers.lock();
        shunned.retain(|_, until| *until > now);
        shunned.contains_key(&to)
    }
}
