//! The client for trainers, which submits a step and pulls each of its groups once.
//!
//! Every pull and every submission lists the groups that the trainer has received. The list is
//! the acknowledgement, and a node that does not know the step generates only the missing groups.
//! A trainer that restarts resumes from the groups it has stored.

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

/// Maximum number of groups in one pull.
const MAX_GROUPS_PER_PULL: usize = 64;
/// How long a pull waits for the first group.
const PULL_WAIT: Duration = Duration::from_secs(5);
/// Timeout of a call; longer than [`PULL_WAIT`].
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay before a retry after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Number of failures in a row after which a step fails.
const MAX_FAILURES: u32 = 200;

/// Why a step did not complete.
#[derive(Debug, thiserror::Error)]
pub enum TrainerError {
    /// Too many calls in a row failed; holds their number.
    #[error("no node answered {0} times in a row")]
    NoNode(u32),
    /// The service refused the step with a client error, which a retry would not change.
    #[error(transparent)]
    Refused(#[from] JsonClientError),
}

/// The groups received of a step so far, and counts of what went wrong.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepReport {
    /// The received groups, by number.
    pub groups: BTreeMap<u32, Group>,
    /// Groups that were received a second time and dropped; 0 unless there is a fault.
    pub duplicates: u64,
    /// Groups that were received with samples missing and dropped; 0 unless there is a fault.
    pub incomplete: u64,
    /// Groups that were too old when they were received and were dropped.
    pub stale: u64,
    /// Calls that failed and were retried.
    pub failures: u64,
}

/// A client that runs the steps of one trainer.
#[derive(Debug)]
pub struct TrainerClient {
    name: Name,
    book: AddressBook,
    http: JsonClient,
    version: AtomicU64,
}

/// A step that is being pulled.
#[derive(Debug)]
pub struct StepPull<'a> {
    trainer: &'a TrainerClient,
    number: u64,
    spec: &'a StepSpec,
    report: StepReport,
    /// The node that holds the step; none if it has to be submitted.
    node: Option<SocketAddr>,
    /// Incomplete groups that a draining node returned; they are sent with the next submission.
    partial_groups: Vec<Group>,
    /// The number of failures in a row.
    failures: u32,
}

impl TrainerClient {
    /// Creates a client for the trainer `name`. `seeds` are the addresses of some nodes.
    pub fn new(name: Name, seeds: Vec<SocketAddr>) -> Self {
        let book = AddressBook::for_trainer(seeds, name.clone());
        Self { name, book, http: JsonClient::default(), version: AtomicU64::new(0) }
    }

    /// Sets the weight version of the trainer; a lower version than before is ignored.
    pub fn set_version(&self, version: u64) {
        self.version.fetch_max(version, Ordering::Relaxed);
    }

    /// Submits a step and pulls until every group has been received.
    pub async fn run_step(&self, number: u64, spec: &StepSpec) -> Result<StepReport, TrainerError> {
        let mut pull = self.resume_step(number, spec, BTreeMap::new());
        while !pull.next_groups().await?.is_empty() {}
        Ok(pull.report)
    }

    /// Resumes a step of which the groups `stored` were received before; none for a new step.
    pub fn resume_step<'a>(
        &'a self,
        number: u64,
        spec: &'a StepSpec,
        stored: BTreeMap<u32, Group>,
    ) -> StepPull<'a> {
        self.set_version(spec.version);
        let report = StepReport { groups: stored, ..StepReport::default() };
        StepPull {
            trainer: self,
            number,
            spec,
            report,
            node: None,
            partial_groups: Vec::new(),
            failures: 0,
        }
    }

    fn path(&self, number: u64) -> String {
        format!("/v1/trainers/{}/steps/{number}", self.name)
    }
}

impl StepPull<'_> {
    /// Returns what has been received so far.
    pub fn report(&self) -> &StepReport {
        &self.report
    }

    /// Submits the step without pulling groups. While the trainer trains on the previous step, the
    /// service generates samples early, as many as the bundle's `idle_weight` allows.
    pub async fn prepare(&mut self) -> Result<(), TrainerError> {
        while self.submit().await?.is_none() {
            self.record_failure().await?;
        }
        Ok(())
    }

    /// Returns the next groups; none once the step is complete. They are acknowledged with the next
    /// call, so a trainer that must survive its own restart stores them before that.
    pub async fn next_groups(&mut self) -> Result<Vec<Group>, TrainerError> {
        loop {
            let Some(node) = self.submit().await? else {
                self.record_failure().await?;
                continue;
            };
            match self.pull(node).await {
                Ok(pulled) => {
                    self.failures = 0;
                    if pulled.draining && !pulled.complete {
                        self.drop_node(node);
                    }
                    let complete = pulled.complete;
                    let fresh = self.accept(pulled);
                    if complete || !fresh.is_empty() {
                        return Ok(fresh);
                    }
                }
                Err(e) => {
                    if is_unknown_step(&e) {
                        self.node = None;
                    } else {
                        self.drop_node(node);
                    }
                    self.record_failure().await?;
                }
            }
        }
    }

    /// Returns the node that holds the step, and submits the step if there is none; `None` if the
    /// submission failed and can be retried.
    async fn submit(&mut self) -> Result<Option<SocketAddr>, TrainerError> {
        if self.node.is_some() {
            return Ok(self.node);
        }
        let Some(at) = self.trainer.book.next_address().await else { return Ok(None) };
        let path = self.trainer.path(self.number);
        let submit = SubmitStepRequest {
            spec: StepSpec { version: self.version(), ..self.spec.clone() },
            delivered: self.received_groups(),
            partial_groups: self.partial_groups.clone(),
        };
        let http = &self.trainer.http;
        let sent = http.call::<_, serde_json::Value>(at, Method::PUT, &path, &submit, CALL_TIMEOUT);
        match sent.await {
            Ok(_) => {
                self.partial_groups.clear();
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
            delivered: self.received_groups(),
            max_groups: MAX_GROUPS_PER_PULL,
            wait_ms: PULL_WAIT.as_millis() as u64,
        };
        self.trainer.http.call(node, Method::POST, &path, &pull, CALL_TIMEOUT).await
    }

    /// Returns the groups that are complete, new and fresh enough now, and counts the others.
    fn accept(&mut self, pulled: PullGroupsResponse) -> Vec<Group> {
        let min_version = min_fresh_version(self.version(), pulled.staleness_bound);
        if pulled.draining {
            self.partial_groups = pulled.partial_groups;
        }
        let mut fresh = Vec::new();
        for group in pulled.groups {
            if self.report.groups.contains_key(&group.group) {
                self.report.duplicates += 1;
            } else if !self.is_complete(&group) {
                self.report.incomplete += 1;
            } else if group.samples.iter().any(|s| s.oldest().is_some_and(|o| o < min_version)) {
                // It is not acknowledged, so the node checks it again and regenerates it.
                self.report.stale += 1;
            } else {
                self.report.groups.insert(group.group, group.clone());
                fresh.push(group);
            }
        }
        fresh
    }

    /// Returns whether a group of the step has all of its samples.
    fn is_complete(&self, group: &Group) -> bool {
        let Some(prompt) = self.spec.groups.get(group.group as usize) else { return false };
        group.samples.iter().map(|s| s.index).eq(0..prompt.samples)
    }

    fn received_groups(&self) -> Ranges {
        self.report.groups.keys().copied().collect()
    }

    fn version(&self) -> u64 {
        self.trainer.version.load(Ordering::Relaxed)
    }

    /// Forgets the node that holds the step and marks it as failed.
    fn drop_node(&mut self, node: SocketAddr) {
        self.trainer.book.mark_failed(node);
        self.node = None;
    }

    /// Counts a failure and waits before the retry; an error after [`MAX_FAILURES`] in a row.
    async fn record_failure(&mut self) -> Result<(), TrainerError> {
        self.failures += 1;
        self.report.failures += 1;
        if self.failures >= MAX_FAILURES {
            return Err(TrainerError::NoNode(self.failures));
        }
        tokio::time::sleep(RETRY_DELAY).await;
        Ok(())
    }
}

/// Returns whether the node answered that it does not hold the step.
fn is_unknown_step(e: &JsonClientError) -> bool {
    matches!(e, JsonClientError::Status { status: StatusCode::NOT_FOUND, .. })
}
