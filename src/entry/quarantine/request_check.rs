//! The quarantine as it applies to one request.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use http::Method;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::broken_attempts::BrokenAttempt;
use super::entry_quarantine::EntryQuarantine;
use super::lost_run::LostRun;
use crate::decide::quarantine::{CrashId, FingerprintStatus, MIN_CRASHES, RerunDecision};
use crate::edge::replica::Target;
use crate::error::{Kind, Refusal};
use crate::{Moment, Name};

/// How long the final response to a request that crashed a replica waits for the other nodes to
/// know it. Probing takes up to 0.1 s of that at a replica that refuses connections, and a notice
/// some milliseconds; a node that does not reply must not delay a live request by more.
const NOTICE_WAIT: Duration = Duration::from_millis(300);
/// When a run may be asked for again that other nodes did not confirm.
const REFUSED_RERUN_DELAY: Duration = Duration::from_millis(1_000);
/// How long a request waits for the end of another run of the same content. Most runs of plain
/// services end within it.
const RERUN_PATIENCE: Duration = Duration::from_millis(1_000);

/// What identifies a request, under whichever id it is sent.
#[derive(Debug, Clone)]
pub(in crate::entry) struct RequestContent {
    /// The service of its route.
    pub service: Name,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: Name,
    /// The whole body.
    pub body: Bytes,
}

impl RequestContent {
    /// The hash of the content.
    fn fingerprint(&self) -> u64 {
        let head = xxh3_64_with_seed(self.service.as_bytes(), 0);
        let head = xxh3_64_with_seed(self.method.as_str().as_bytes(), head);
        xxh3_64_with_seed(&self.body, xxh3_64_with_seed(self.path.as_bytes(), head))
    }
}

/// The quarantine as it applies to one request, over its attempts. It does not apply to reward calls,
/// which are owed like the texts of a job.
#[derive(Debug)]
pub(in crate::entry) struct RequestCheck {
    quarantine: Arc<EntryQuarantine>,
    content: RequestContent,
    /// Set for a reward call.
    owed: bool,
    /// The run of a reward call that broke off.
    lost: Option<LostRun>,
    /// Computed once it is needed, which is not before something crashes.
    fingerprint: Option<u64>,
    /// Whether the request has completed, so that crashes that are still being checked don't count
    /// against it.
    excused: Arc<AtomicBool>,
    /// The checks of replicas at which attempts broke off.
    pending: Vec<JoinHandle<bool>>,
    silence: Silence,
    /// The run that was granted and is not sent.
    rerun: Option<CrashId>,
    /// The runs at replicas that have not ended, in the order in which they were sent.
    in_flight: Vec<InFlightRun>,
}

/// The attempts of a request that got no response in time.
#[derive(Debug)]
enum Silence {
    None,
    /// The only one.
    Once(BrokenAttempt),
    Repeated,
}

/// A run that has been sent.
#[derive(Debug)]
struct InFlightRun {
    service: Name,
    target: Target,
    sent_at: Moment,
    /// Set if it had to be granted.
    rerun: Option<CrashId>,
}

impl RequestCheck {
    /// The checks of a request.
    pub(in crate::entry) fn new(
        quarantine: &Arc<EntryQuarantine>,
        content: RequestContent,
    ) -> Self {
        Self {
            quarantine: quarantine.clone(),
            content,
            owed: false,
            lost: None,
            fingerprint: None,
            excused: Arc::default(),
            pending: Vec::new(),
            silence: Silence::None,
            rerun: None,
            in_flight: Vec::new(),
        }
    }

    /// The checks of a reward call: it is never refused, and its crashes count against nobody.
    pub(in crate::entry) fn of_reward_call(
        quarantine: &Arc<EntryQuarantine>,
        content: RequestContent,
    ) -> Self {
        let mut check = Self::new(quarantine, content);
        check.owed = true;
        check
    }

    /// Takes the run of a reward call that broke off, to look for a crash of its replica.
    pub(in crate::entry) fn take_lost(&mut self) -> Option<LostRun> {
        self.lost.take()
    }

    /// Checks of the same request that another task makes, which takes over the run in flight.
    pub(in crate::entry) fn fork(&mut self) -> Self {
        Self {
            quarantine: self.quarantine.clone(),
            content: self.content.clone(),
            owed: self.owed,
            lost: None,
            fingerprint: self.fingerprint,
            excused: self.excused.clone(),
            pending: Vec::new(),
            silence: Silence::None,
            rerun: None,
            in_flight: std::mem::take(&mut self.in_flight),
        }
    }

    /// Whether the request may be refused, and anything is known of any request.
    fn applies(&self) -> bool {
        !self.owed && self.quarantine.is_active()
    }

    fn fingerprint(&mut self) -> u64 {
        *self.fingerprint.get_or_insert_with(|| self.content.fingerprint())
    }

    /// Refuses the request if it is quarantined.
    ///
    /// # Errors
    ///
    /// `Quarantined`, which is final.
    pub(in crate::entry) fn check(&mut self) -> Result<(), Refusal> {
        if !self.applies() {
            return Ok(());
        }
        let fingerprint = self.fingerprint();
        let now = self.quarantine.now();
        match self.quarantine.state.lock().status(fingerprint, now) {
            FingerprintStatus::Clear | FingerprintStatus::Suspect(_) => Ok(()),
            FingerprintStatus::Quarantined(left) => Err(quarantined(left)),
        }
    }

    /// Refuses the request unless it may be sent now. After [`MIN_CRASHES`] crashes its runs are
    /// limited and have to be known to other nodes, which takes up to 200 ms; call
    /// [`Self::run_sent`] when it is sent. While another run of it may still crash its
    /// replica, it waits for `patience` and [`RERUN_PATIENCE`] at most.
    ///
    /// # Errors
    ///
    /// `Quarantined`, with the time after which it may run.
    pub(in crate::entry) async fn permit(&mut self, patience: Duration) -> Result<(), Refusal> {
        self.await_third_crash().await;
        self.check()?;
        if !self.applies() || self.rerun.is_some() {
            return Ok(());
        }
        let (quarantine, fingerprint) = (self.quarantine.clone(), self.fingerprint());
        let mut updates = quarantine.updates.subscribe();
        let give_up_at = quarantine.now() + patience.min(RERUN_PATIENCE);
        let wait = loop {
            let now = quarantine.now();
            let decision = quarantine.state.lock().begin_rerun(fingerprint, now);
            let wait = match decision {
                RerunDecision::Unlimited => return Ok(()),
                RerunDecision::Wait(wait) => wait,
                RerunDecision::UsedUp => {
                    quarantine.stop_request(fingerprint);
                    return self.check();
                }
                RerunDecision::Granted(id) => {
                    self.rerun = Some(id.clone());
                    if quarantine.confirm_rerun(fingerprint, &id).await {
                        return Ok(());
                    }
                    self.withdraw();
                    self.check()?;
                    REFUSED_RERUN_DELAY
                }
            };
            let left = give_up_at.saturating_sub(quarantine.now());
            if left.is_zero() {
                break wait;
            }
            // A completion or a crash of the other run ends the wait early.
            let _ = tokio::time::timeout(wait.min(left), updates.changed()).await;
        };
        Err(quarantined(wait))
    }

    /// Waits for the checks of replicas if one of them may find the third crash of the request, and
    /// until other nodes know of it.
    async fn await_third_crash(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let fingerprint = self.fingerprint();
        let known = self.quarantine.state.lock().crash_count(fingerprint);
        if known < MIN_CRASHES && known + self.pending.len() >= MIN_CRASHES {
            self.notify_peers().await;
        }
    }

    /// Records that the request is sent to a replica, so that the run counts. One of the methods
    /// below records how it ended.
    pub(in crate::entry) fn run_sent(&mut self, service: &Name, target: &Target) {
        if self.owed {
            return;
        }
        self.in_flight.push(InFlightRun {
            service: service.clone(),
            target: target.clone(),
            sent_at: self.quarantine.now(),
            rerun: self.rerun.take(),
        });
    }

    /// Records that the request that was sent last did not reach its replica.
    pub(in crate::entry) fn run_unsent(&mut self) {
        self.rerun = self.in_flight.pop().and_then(|run| run.rerun);
    }

    /// Records that the replica to which the request was sent last responded that it did not run it.
    pub(in crate::entry) fn run_declined(&mut self) {
        self.in_flight.pop();
    }

    /// Records that the run at a replica has ended.
    fn run_ended(&mut self, target: &Target) {
        self.in_flight.retain(|run| run.target.id != target.id);
    }

    /// Records that the run that was granted is not sent.
    fn withdraw(&mut self) {
        if let Some(id) = self.rerun.take() {
            let fingerprint = self.fingerprint();
            self.quarantine.withdraw_rerun(fingerprint, &id);
        }
    }

    /// Whether the request may run again on behalf of the same caller. After [`MIN_CRASHES`] it
    /// runs once for each request of its caller.
    pub(in crate::entry) fn may_rerun(&mut self) -> bool {
        if !self.applies() {
            return true;
        }
        let fingerprint = self.fingerprint();
        self.quarantine.state.lock().crash_count(fingerprint) < MIN_CRASHES
    }

    /// Records that the connection of an attempt broke after this time. The replica is checked in
    /// the background.
    pub(in crate::entry) fn broke(&mut self, service: &Name, target: &Target, ran: Duration) {
        self.run_ended(target);
        if self.owed {
            self.lost = Some(self.quarantine.lost_run(service, target, ran));
            return;
        }
        let fingerprint = self.fingerprint();
        let broken = self.quarantine.broken_attempt(service, target, Some(fingerprint), ran);
        let (quarantine, excused) = (self.quarantine.clone(), self.excused.clone());
        let check = async move { quarantine.check_broken(&broken, &excused).await };
        self.pending.push(tokio::spawn(check));
    }

    /// Records that an attempt got no response within this time. A crash of its replica is looked for
    /// over some seconds, for which no response waits. With the second such attempt the request is a
    /// suspect: its replicas may all crash just after their attempts have ended.
    pub(in crate::entry) fn silent(&mut self, service: &Name, target: &Target, ran: Duration) {
        self.run_ended(target);
        if self.owed {
            return;
        }
        let fingerprint = self.fingerprint();
        let broken = self.quarantine.broken_attempt(service, target, Some(fingerprint), ran);
        let known = self.quarantine.state.lock().crash_count(fingerprint);
        let mut suspect = known > 0 || !self.pending.is_empty();
        self.silence = match std::mem::replace(&mut self.silence, Silence::Repeated) {
            Silence::None => Silence::Once(broken.clone()),
            Silence::Once(first) => {
                self.look_for_crash(first, true);
                suspect = true;
                Silence::Repeated
            }
            Silence::Repeated => {
                suspect = true;
                Silence::Repeated
            }
        };
        self.look_for_crash(broken, suspect);
    }

    /// Looks for a crash of the replica of an attempt without a response, in the background.
    fn look_for_crash(&self, broken: BrokenAttempt, suspect: bool) {
        let (quarantine, excused) = (self.quarantine.clone(), self.excused.clone());
        tokio::spawn(async move {
            if suspect && broken.listed {
                quarantine.check_suspect(broken, &excused).await;
            } else {
                quarantine.watch_replica(broken, &excused).await;
            }
        });
    }

    /// Looks for a crash by a run whose caller has left.
    fn watch_left(&mut self, run: InFlightRun) {
        let ran = self.quarantine.now().saturating_sub(run.sent_at);
        let fingerprint = self.fingerprint();
        let broken =
            self.quarantine.broken_attempt(&run.service, &run.target, Some(fingerprint), ran);
        let (quarantine, excused) = (self.quarantine.clone(), self.excused.clone());
        // There is no runtime if the whole process ends.
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(async move { quarantine.watch_replica(broken, &excused).await });
        }
    }

    /// Records that the request has completed.
    pub(in crate::entry) fn succeeded(&mut self) {
        self.excused.store(true, Ordering::Relaxed);
        self.pending.clear();
        self.in_flight.clear();
        if !self.applies() {
            return;
        }
        let fingerprint = self.fingerprint();
        let cleared = self
            .quarantine
            .state
            .lock()
            .record_success(fingerprint, self.quarantine.now())
            .is_some();
        if cleared {
            tracing::info!(event = "suspect_cleared", fingerprint = format!("{fingerprint:016x}"));
            self.quarantine.activate();
        }
    }

    /// Records that a replica ran the request for this time and did not crash.
    pub(in crate::entry) fn survived(&mut self, ran: Duration) {
        self.in_flight.clear();
        if self.applies() {
            let fingerprint = self.fingerprint();
            self.quarantine.state.lock().record_survival(fingerprint, ran, self.quarantine.now());
        }
    }

    /// Waits until the crashes of the request are known to the other nodes, for at most
    /// [`NOTICE_WAIT`]: once the caller has its response, it may send the request to any of them.
    pub(in crate::entry) async fn notify_peers(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let (pending, fingerprint) = (std::mem::take(&mut self.pending), self.fingerprint());
        let quarantine = &self.quarantine;
        let notified = async {
            join_all(pending).await;
            let change = {
                let mut state = quarantine.state.lock();
                if state.crash_count(fingerprint) == 0 {
                    return;
                }
                state.share(fingerprint);
                state.last_change()
            };
            let mut rounds = quarantine.rounds.subscribe();
            quarantine.changed.notify_one();
            while !quarantine.is_acknowledged(change) {
                if rounds.changed().await.is_err() {
                    return;
                }
            }
        };
        if tokio::time::timeout(NOTICE_WAIT, notified).await.is_err() {
            let fingerprint = format!("{fingerprint:016x}");
            tracing::info!(event = "crash_notice_late", fingerprint);
        }
    }
}

impl Drop for RequestCheck {
    /// Withdraws a run that was not sent, and reports the crashes of a request that was given up, as
    /// when its caller disconnected. It may come again at any node. A run in flight may still crash its
    /// replica.
    fn drop(&mut self) {
        self.withdraw();
        for run in std::mem::take(&mut self.in_flight) {
            self.watch_left(run);
        }
        if !self.pending.is_empty() && !self.excused.load(Ordering::Relaxed) {
            let fingerprint = self.fingerprint();
            self.quarantine.state.lock().share(fingerprint);
            self.quarantine.changed.notify_one();
        }
    }
}

/// The refusal of a request that may not run for this time.
fn quarantined(left: Duration) -> Refusal {
    let detail = format!("refused for another {} ms", left.as_millis());
    Refusal::new(Kind::Quarantined, detail).with_retry_after(left)
}
