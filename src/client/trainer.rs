//! A client for trainers: submits a step and pulls its groups, each once.
//!
//! The groups that the trainer has are its acknowledgement: they go along with
//! every pull and every submission, so a node that never heard of the step makes
//! only what is missing. A trainer that restarts goes on with what it kept.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http::{Method, StatusCode};

use super::AddressBook;
use crate::Name;
use crate::decide::{Group, Ranges, StepSpec, min_fresh_version};
use crate::edge::http::{JsonClient, JsonClientError};
use crate::node::{PullGroupsRequest, PullGroupsResponse, SubmitStepRequest};

/// Groups in one pull.
const MOST: usize = 64;
/// How long a pull waits for the first group.
const WAIT: Duration = Duration::from_secs(5);
/// How long a call may take: the wait, with room.
const LIMIT: Duration = Duration::from_secs(15);
/// Pause after a node that did not answer.
const PAUSE: Duration = Duration::from_millis(100);
/// Failures in a row after which a step is given up.
const FAILURES: u32 = 200;

/// Why a step did not become whole.
#[derive(Debug, thiserror::Error)]
pub enum TrainerError {
    /// No node answered for too long.
    #[error("no node answered {0} times in a row")]
    NoNode(u32),
    /// The service refused for good.
    #[error(transparent)]
    Refused(#[from] JsonClientError),
}

/// A step, whole or under way.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepReport {
    /// The groups by number.
    pub groups: BTreeMap<u32, Group>,
    /// Groups that came a second time, and were dropped. 0 if all is well.
    pub duplicates: u64,
    /// Groups that came with samples missing, and were dropped. 0 if all is well.
    pub incomplete: u64,
    /// Groups that were too old when they arrived, and were dropped.
    pub stale: u64,
    /// Calls that failed and were made again.
    pub failures: u64,
}

/// The client.
#[derive(Debug)]
pub struct TrainerClient {
    name: Name,
    book: AddressBook,
    fetch: JsonClient,
    version: AtomicU64,
}

/// A step that is being pulled.
#[derive(Debug)]
pub struct StepPull<'a> {
    trainer: &'a TrainerClient,
    number: u64,
    spec: &'a StepSpec,
    report: StepReport,
    /// Where the step is held.
    node: Option<SocketAddr>,
    /// Samples of unfinished groups that the last node gave along.
    parts: Vec<Group>,
    failed: u32,
}

impl TrainerClient {
    /// A trainer of that name.
    pub fn new(name: Name, seeds: Vec<SocketAddr>) -> Self {
        let book = AddressBook::for_trainer(seeds, name.clone());
        Self { name, book, fetch: JsonClient::default(), version: AtomicU64::new(0) }
    }

    /// The trainer's weights are at this version now.
    pub fn set_version(&self, version: u64) {
        self.version.fetch_max(version, Ordering::Relaxed);
    }

    /// Submits a step and pulls until every group is there.
    pub async fn run_step(&self, number: u64, spec: &StepSpec) -> Result<StepReport, TrainerError> {
        let mut pull = self.resume_step(number, spec, BTreeMap::new());
        while !pull.next_groups().await?.is_empty() {}
        Ok(pull.report)
    }

    /// Goes on with a step of which these groups were kept; none for a new one.
    pub fn resume_step<'a>(
        &'a self,
        number: u64,
        spec: &'a StepSpec,
        kept: BTreeMap<u32, Group>,
    ) -> StepPull<'a> {
        self.set_version(spec.version);
        let report = StepReport { groups: kept, ..StepReport::default() };
        StepPull { trainer: self, number, spec, report, node: None, parts: Vec::new(), failed: 0 }
    }

    fn path(&self, number: u64) -> String {
        format!("/v1/trainers/{}/steps/{number}", self.name)
    }
}

impl StepPull<'_> {
    /// What came so far.
    pub fn report(&self) -> &StepReport {
        &self.report
    }

    /// Submits the step without asking for groups: while the trainer trains on the last
    /// one, as many samples are made early as the bundle's `idle_weight` allows.
    pub async fn prepare(&mut self) -> Result<(), TrainerError> {
        while self.held().await?.is_none() {
            self.failure().await?;
        }
        Ok(())
    }

    /// The groups that come next; none once the step is whole. They count as
    /// received with the next call: a trainer that has to survive its own restart
    /// keeps them first.
    pub async fn next_groups(&mut self) -> Result<Vec<Group>, TrainerError> {
        loop {
            let Some(node) = self.held().await? else {
                self.failure().await?;
                continue;
            };
            match self.pull(node).await {
                Ok(pulled) => {
                    self.failed = 0;
                    if pulled.draining && !pulled.complete {
                        self.leave(node);
                    }
                    let complete = pulled.complete;
                    let fresh = self.take(pulled);
                    if complete || !fresh.is_empty() {
                        return Ok(fresh);
                    }
                }
                Err(e) => {
                    if gone(&e) {
                        self.node = None;
                    } else {
                        self.leave(node);
                    }
                    self.failure().await?;
                }
            }
        }
    }

    /// The node that holds the step, submitted there if need be; `None` if none answers.
    async fn held(&mut self) -> Result<Option<SocketAddr>, TrainerError> {
        if self.node.is_some() {
            return Ok(self.node);
        }
        let Some(at) = self.trainer.book.next_address().await else { return Ok(None) };
        let path = self.trainer.path(self.number);
        let submit = SubmitStepRequest {
            spec: StepSpec { version: self.version(), ..self.spec.clone() },
            delivered: self.have(),
            partial_groups: self.parts.clone(),
        };
        let fetch = &self.trainer.fetch;
        let sent = fetch.call::<_, serde_json::Value>(at, Method::PUT, &path, &submit, LIMIT);
        match sent.await {
            Ok(_) => {
                self.parts.clear();
                self.node = Some(at);
                Ok(self.node)
            }
            Err(JsonClientError::Status { status, to, text }) if status.is_client_error() => {
                Err(JsonClientError::Status { status, to, text }.into())
            }
            Err(_) => {
                self.trainer.book.mark_failed(at);
                Ok(None)
            }
        }
    }

    async fn pull(&self, node: SocketAddr) -> Result<PullGroupsResponse, JsonClientError> {
        let path = format!("{}/pull", self.trainer.path(self.number));
        let pull = PullGroupsRequest {
            version: self.version(),
            delivered: self.have(),
            max_groups: MOST,
            wait_ms: WAIT.as_millis() as u64,
        };
        self.trainer.fetch.call(node, Method::POST, &path, &pull, LIMIT).await
    }

    /// Takes what is whole, new and, at this moment, fresh.
    fn take(&mut self, pulled: PullGroupsResponse) -> Vec<Group> {
        let floor = min_fresh_version(self.version(), pulled.staleness_bound);
        if pulled.draining {
            self.parts = pulled.partial_groups;
        }
        let mut fresh = Vec::new();
        for group in pulled.groups {
            if self.report.groups.contains_key(&group.group) {
                self.report.duplicates += 1;
            } else if !self.whole(&group) {
                self.report.incomplete += 1;
            } else if group.samples.iter().any(|s| s.oldest().is_some_and(|o| o < floor)) {
                // Not acknowledged, so the node judges it again and makes it anew.
                self.report.stale += 1;
            } else {
                self.report.groups.insert(group.group, group.clone());
                fresh.push(group);
            }
        }
        fresh
    }

    fn whole(&self, group: &Group) -> bool {
        let Some(prompt) = self.spec.groups.get(group.group as usize) else { return false };
        group.samples.iter().map(|s| s.index).eq(0..prompt.samples)
    }

    fn have(&self) -> Ranges {
        self.report.groups.keys().copied().collect()
    }

    fn version(&self) -> u64 {
        self.trainer.version.load(Ordering::Relaxed)
    }

    fn leave(&mut self, node: SocketAddr) {
        self.trainer.book.mark_failed(node);
        self.node = None;
    }

    async fn failure(&mut self) -> Result<(), TrainerError> {
        self.failed += 1;
        self.report.failures += 1;
        if self.failed >= FAILURES {
            return Err(TrainerError::NoNode(self.failed));
        }
        tokio::time::sleep(PAUSE).await;
        Ok(())
    }
}

/// Whether the node answers but does not hold the step.
fn gone(e: &JsonClientError) -> bool {
    matches!(e, JsonClientError::Status { status: StatusCode::NOT_FOUND, .. })
}
