//! Whether a replica has crashed at which an attempt broke off or got no response.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::OnceCell;
use tokio::time::Instant;

use crate::decide::Fleet;
use crate::edge::replica::{CallError, Replicas, Target};
use crate::edge::upstream::ProbeResult;

/// How long a replica may take to report its start time after a broken connection.
const STATUS_TIMEOUT: Duration = Duration::from_millis(250);
/// How long the result of checking a replica holds for other requests that break off there. They
/// break off at the same moment, and a check takes 0.1 s.
const CHECK_RETENTION: Duration = Duration::from_millis(500);
/// What a check found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CheckResult {
    /// The process of the replica has ended.
    Crashed,
    /// It was stopped: it drains.
    Draining,
    /// It accepts connections, as the same instance.
    Runs,
    /// Nothing is known of it: it is cut off or silent.
    Silent,
}

impl CheckResult {
    /// The name in log lines.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Crashed => "crashed",
            Self::Draining => "draining",
            Self::Runs => "runs",
            Self::Silent => "silent",
        }
    }
}

/// A check of a replica.
#[derive(Debug, Clone)]
struct ReplicaCheck {
    target: Target,
    began_at: Instant,
    result: Arc<OnceCell<CheckResult>>,
}

/// The checks of replicas within the last [`CHECK_RETENTION`].
#[derive(Debug)]
pub(super) struct ReplicaChecks {
    recent: Mutex<Vec<ReplicaCheck>>,
    replicas: Arc<dyn Replicas>,
    fleet: Arc<Mutex<Fleet>>,
}

impl ReplicaChecks {
    /// No checks so far.
    pub(super) fn new(replicas: Arc<dyn Replicas>, fleet: Arc<Mutex<Fleet>>) -> Self {
        Self { recent: Mutex::default(), replicas, fleet }
    }

    /// Whether a replica is listed and does not drain.
    pub(super) fn is_listed(&self, target: &Target) -> bool {
        self.fleet.lock().accepts_work(&target.id)
    }

    /// Checks a replica that was listed when an attempt ended there without a response. Its entry may
    /// be gone by now, as a replica that has crashed does not renew it.
    pub(super) async fn check(&self, target: &Target) -> CheckResult {
        *self.running_check(target).get_or_init(|| self.probe(target)).await
    }

    /// Returns the running or recent check of a replica, or a new one.
    fn running_check(&self, target: &Target) -> Arc<OnceCell<CheckResult>> {
        let now = Instant::now();
        let mut recent = self.recent.lock();
        recent.retain(|check| now.saturating_duration_since(check.began_at) < CHECK_RETENTION);
        if let Some(known) = recent.iter().find(|check| check.target == *target) {
            return known.result.clone();
        }
        let result = Arc::<OnceCell<CheckResult>>::default();
        recent.push(ReplicaCheck { target: target.clone(), began_at: now, result: result.clone() });
        result
    }

    async fn probe(&self, target: &Target) -> CheckResult {
        let result = match self.replicas.probe(target).await {
            ProbeResult::Refused => CheckResult::Crashed,
            ProbeResult::Unreachable => CheckResult::Silent,
            ProbeResult::Accepted => match self.replicas.status(target, STATUS_TIMEOUT).await {
                Ok(status) if status.is_other_incarnation(target) => CheckResult::Crashed,
                Ok(_) => CheckResult::Runs,
                Err(CallError::WrongInstance) => CheckResult::Crashed,
                Err(_) => CheckResult::Silent,
            },
        };
        let draining = self.fleet.lock().is_draining(&target.id);
        if draining { CheckResult::Draining } else { result }
    }
}
