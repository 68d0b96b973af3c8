//! Runs of texts and reward calls that ended without a response. A crash of their replicas is found,
//! but never stops them.

use std::sync::Arc;
use std::time::Duration;

use super::EntryQuarantine;
use super::broken_attempts::BrokenAttempt;
use crate::Name;
use crate::edge::replica::Target;

/// A run of a text or reward call that ended without a response.
#[derive(Debug, Clone)]
pub(in crate::entry) struct LostRun(BrokenAttempt);

impl EntryQuarantine {
    /// Describes a run that has ended now without a response, after this time.
    pub(in crate::entry) fn lost_run(
        &self,
        service: &Name,
        target: &Target,
        ran: Duration,
    ) -> LostRun {
        LostRun(self.broken_attempt(service, target, None, ran))
    }

    /// Checks whether the replica of a run has crashed, which takes some tenths of a second at most.
    pub(in crate::entry) async fn has_crashed(&self, run: &LostRun) -> bool {
        self.check_broken(&run.0, &Arc::default()).await
    }

    /// The same in the background, for the requests that were at that replica as well.
    pub(in crate::entry) fn look_for_crash(self: &Arc<Self>, run: LostRun) {
        let quarantine = self.clone();
        tokio::spawn(async move { quarantine.has_crashed(&run).await });
    }
}
