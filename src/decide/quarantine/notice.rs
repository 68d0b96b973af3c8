//! The notices that nodes exchange about crashes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Name;

/// One crash, as one node counted it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId {
    /// The node that saw the crash.
    pub node: Name,
    /// The node's count of crashes. It starts at a random number, so that a node that
    /// restarts does not repeat its numbers.
    pub number: u64,
}

/// Reports that a request was in flight at an upstream when that crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Hash of the service and the content.
    pub fingerprint: u64,
    /// How often the fingerprint was cleared before. Reports of earlier epochs are ignored.
    pub epoch: u32,
    /// The crash.
    pub crash: CrashId,
    /// The upstream.
    pub upstream: Name,
    /// How long the request had run at the upstream, in milliseconds.
    pub ran_ms: u64,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
}

/// A change of what is known of a fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashNotice {
    /// The request was in flight at a crash.
    Suspect(CrashReport),
    /// The request ran elsewhere without a crash.
    Clear {
        /// Hash of the service and the content.
        fingerprint: u64,
        /// How often the fingerprint has been cleared, this time included.
        epoch: u32,
    },
    /// The request is quarantined by a node that judged its crashes.
    Quarantine {
        /// Hash of the service and the content.
        fingerprint: u64,
        /// How often the fingerprint was cleared before.
        epoch: u32,
        /// Time since it was quarantined, in milliseconds.
        age_ms: u64,
    },
    /// The request is run once more after its third crash, or that run was not sent.
    Rerun {
        /// Hash of the service and the content.
        fingerprint: u64,
        /// How often the fingerprint was cleared before.
        epoch: u32,
        /// The run.
        run: CrashId,
        /// Time since it was granted, in milliseconds.
        age_ms: u64,
        /// Whether it was not sent.
        withdrawn: bool,
    },
}

impl CrashNotice {
    /// The notice after this time has passed.
    pub fn aged(mut self, passed: Duration) -> Self {
        let passed = passed.as_millis() as u64;
        match &mut self {
            Self::Suspect(report) => report.age_ms += passed,
            Self::Quarantine { age_ms, .. } | Self::Rerun { age_ms, .. } => *age_ms += passed,
            Self::Clear { .. } => {}
        }
        self
    }
}
