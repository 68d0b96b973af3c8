//! A client for trainers: submits a step and pulls its groups, each once.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, StatusCode};

use super::AddressBook;
use crate::Name;
use crate::decide::{Group, Spec};
use crate::edge::http::{Fetch, FetchError};
use crate::node::{Pull, Pulled};

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
    Refused(#[from] FetchError),
}

/// A whole step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StepReport {
    /// The groups by number.
    pub groups: BTreeMap<u32, Group>,
    /// Groups that came a second time, and were dropped. 0 if all is well.
    pub doubled: u64,
    /// Calls that failed and were made again.
    pub failures: u64,
}

/// The client.
#[derive(Debug)]
pub struct Trainer {
    name: Name,
    book: AddressBook,
    fetch: Fetch,
}

impl Trainer {
    /// A trainer of that name.
    pub fn new(name: Name, seeds: Vec<SocketAddr>) -> Self {
        Self { name, book: AddressBook::new(seeds), fetch: Fetch::default() }
    }

    /// Submits a step and pulls until every group is there.
    pub async fn step(&self, number: u64, spec: &Spec) -> Result<StepReport, TrainerError> {
        let mut report = StepReport { groups: BTreeMap::new(), doubled: 0, failures: 0 };
        let mut failures = 0;
        let mut node = None;
        loop {
            let at = match node {
                Some(at) => at,
                None => match self.submitted(number, spec).await? {
                    Some(at) => at,
                    None => {
                        count(&mut failures, &mut report).await?;
                        continue;
                    }
                },
            };
            node = Some(at);
            match self.pull(at, number, spec, &report).await {
                Ok(pulled) => {
                    failures = 0;
                    take(&mut report, pulled.groups);
                    if pulled.complete {
                        return Ok(report);
                    }
                }
                Err(e) => {
                    if !gone(&e) {
                        self.book.failed(at);
                    }
                    node = None;
                    count(&mut failures, &mut report).await?;
                }
            }
        }
    }

    /// Submits at some node; `None` if it did not answer.
    async fn submitted(
        &self,
        number: u64,
        spec: &Spec,
    ) -> Result<Option<SocketAddr>, TrainerError> {
        let Some(at) = self.book.get().await else { return Ok(None) };
        let path = format!("/v1/trainers/{}/steps/{number}", self.name);
        let sent = self.fetch.call::<_, serde_json::Value>(at, Method::PUT, &path, spec, LIMIT);
        match sent.await {
            Ok(_) => Ok(Some(at)),
            Err(FetchError::Status { status, to, text }) if status.is_client_error() => {
                Err(FetchError::Status { status, to, text }.into())
            }
            Err(_) => {
                self.book.failed(at);
                Ok(None)
            }
        }
    }

    async fn pull(
        &self,
        at: SocketAddr,
        number: u64,
        spec: &Spec,
        report: &StepReport,
    ) -> Result<Pulled, FetchError> {
        let path = format!("/v1/trainers/{}/steps/{number}/pull", self.name);
        let pull = Pull {
            version: spec.version,
            have: report.groups.keys().copied().collect(),
            most: MOST,
            wait_ms: WAIT.as_millis() as u64,
        };
        self.fetch.call(at, Method::POST, &path, &pull, LIMIT).await
    }
}

/// Whether the node answers but does not hold the step.
fn gone(e: &FetchError) -> bool {
    matches!(e, FetchError::Status { status: StatusCode::NOT_FOUND, .. })
}

fn take(report: &mut StepReport, groups: Vec<Group>) {
    for group in groups {
        if report.groups.insert(group.group, group).is_some() {
            report.doubled += 1;
        }
    }
}

async fn count(failures: &mut u32, report: &mut StepReport) -> Result<(), TrainerError> {
    *failures += 1;
    report.failures += 1;
    if *failures >= FAILURES {
        return Err(TrainerError::NoNode(*failures));
    }
    tokio::time::sleep(PAUSE).await;
    Ok(())
}
