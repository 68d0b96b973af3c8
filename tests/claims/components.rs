//! Commit intervals, the segments of the journal, retention, and the memory that a runner uses.

use std::time::Duration;

use mulberrycourse::decide::claim::{
    AttemptState, Attempts, CLAIM_RETENTION, CachedAnswer, ClaimDecision, ClaimIndex, ClaimJournal,
    ClaimKey, ClaimOutcome, ClaimRequest, JournalAction, JournalEntry, MAX_SEGMENT_ENTRIES,
    Segment, SwapResult, partition_owner,
};
use mulberrycourse::error::{Kind, RunStatus};

/// Returns a request for a claim that is different for each number.
fn request(number: u64) -> ClaimRequest {
    let key = ClaimKey::new("sync", "shop", &number.to_string());
    ClaimRequest { key, fingerprint: 1, nonce: number, runner: "n0".into() }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A journal with a platform that answers immediately, and counts of the writes and the decisions.
struct JournalHarness {
    journal: ClaimJournal,
    revision: u64,
    head: Option<(mulberrycourse::decide::claim::PartitionHead, u64)>,
    segments: Vec<Segment>,
    swaps: u64,
    granted: u64,
    /// Decisions other than a grant.
    refused: u64,
}

impl JournalHarness {
    fn new(seed: u64) -> Self {
        let journal = ClaimJournal::new("n0".into(), 1_000_000, seed);
        let (head, segments) = (None, vec![]);
        Self { journal, revision: 0, head, segments, swaps: 0, granted: 0, refused: 0 }
    }

    /// Ticks the journal and performs its actions, until there are none left.
    fn run(&mut self, now: Duration) {
        self.journal.tick(now);
        loop {
            let actions = self.journal.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.perform(action, now);
            }
        }
    }

    fn perform(&mut self, action: JournalAction, now: Duration) {
        match action {
            JournalAction::ReadHead => self.journal.head_read(Ok(self.head.clone()), now),
            JournalAction::ReadSegments(range) => {
                let found = self.segments.iter().filter(|s| range.contains(&s.number));
                let found = found.cloned().collect();
                self.journal.segments_read(Ok(found), now);
            }
            JournalAction::Swap { expected, head, segment } => {
                assert_eq!(expected, self.revision);
                self.revision += 1;
                self.swaps += 1;
                self.head = Some((head, self.revision));
                self.segments.extend(segment);
                self.journal.swap_completed(SwapResult::Done(self.revision), now);
            }
            JournalAction::Reply { decision: ClaimDecision::Granted, .. } => self.granted += 1,
            JournalAction::Reply { .. } => self.refused += 1,
        }
    }
}

/// Thousands of claims in two seconds cause at most one write in 80 ms, and none times out.
/// Afterwards a new owner that reads the segments knows all of them.
#[test]
fn many_claims_share_writes_and_are_read_back() {
    let mut harness = JournalHarness::new(1);
    for tick in 0..2_000 {
        harness.journal.request(request(2 * tick), ms(tick));
        harness.journal.request(request(2 * tick + 1), ms(tick));
        harness.run(ms(tick));
    }
    harness.run(ms(2_200));
    assert_eq!((harness.granted, harness.refused), (4_000, 0));
    assert!(harness.swaps <= 1 + 2_200 / 80 + 1, "{} writes", harness.swaps);
    assert!(harness.segments.iter().all(|s| s.entries.len() <= MAX_SEGMENT_ENTRIES));

    let mut successor =
        JournalHarness { journal: ClaimJournal::new("n1".into(), 1_000_000, 9), ..harness };
    (successor.granted, successor.refused) = (0, 0);
    successor.journal.request(request(7), ms(3_000));
    successor.run(ms(3_000));
    assert_eq!(successor.journal.len(), 4_000);
    assert_eq!((successor.granted, successor.refused), (0, 1));
}

/// A single claim is committed within a few milliseconds, not after the commit interval.
#[test]
fn single_claim_skips_the_commit_interval() {
    let mut harness = JournalHarness::new(1);
    harness.journal.request(request(1), ms(1_000));
    harness.run(ms(1_000));
    assert_eq!(harness.journal.next_tick(), Some(ms(1_003)));
    harness.run(ms(1_003));
    assert_eq!(harness.granted, 1);
}

/// While the platform does not answer, each request is refused within a second, so at most 1,000
/// wait at one request per millisecond.
#[test]
fn claims_without_platform_replies_are_refused_in_time() {
    let mut journal = ClaimJournal::new("n0".into(), 0, 1);
    let mut refused = 0;
    for now in 0..3_000 {
        journal.request(request(now), ms(now));
        journal.tick(ms(now));
        let replies =
            journal.take_actions().into_iter().filter(|s| matches!(s, JournalAction::Reply { .. }));
        refused += replies.count() as u64;
        assert!(now + 1 - refused <= 1_000, "{} requests wait at {now} ms", now + 1 - refused);
    }
}

/// Requests that are given up before or during their commit get a decision too, so that nothing is
/// left waiting at the owner.
#[test]
fn every_request_gets_a_decision() {
    let mut journal = ClaimJournal::new("n0".into(), 0, 1);
    let mut undecided = 0_i64;
    for now in 0..400 {
        let claim = request(now);
        journal.request(claim.clone(), ms(now));
        undecided += 1;
        if now % 3 == 0 {
            journal.call_ended(claim.key, claim.nonce, ClaimOutcome::NotRun, ms(now));
        }
        journal.tick(ms(now));
        for action in journal.take_actions() {
            match action {
                JournalAction::ReadHead => journal.head_read(Ok(None), ms(now)),
                JournalAction::ReadSegments(_) => journal.segments_read(Ok(vec![]), ms(now)),
                JournalAction::Swap { expected, .. } => {
                    journal.swap_completed(SwapResult::Done(expected + 1), ms(now));
                }
                JournalAction::Reply { .. } => undecided -= 1,
            }
        }
    }
    for action in (400..2_000).flat_map(|now| {
        journal.tick(ms(now));
        journal.take_actions()
    }) {
        undecided -= i64::from(matches!(action, JournalAction::Reply { .. }));
    }
    assert_eq!(undecided, 0);
}

/// Claims are kept for as long as callers may retry, and are removed afterwards.
#[test]
fn claims_expire_after_the_retention() {
    let mut index = ClaimIndex::default();
    index.apply(0, &JournalEntry::Claim { request: request(1), claimed_at: 1_000 });
    index.apply(1, &JournalEntry::Claim { request: request(2), claimed_at: 2_000 });
    let retention_s = CLAIM_RETENTION.as_secs();
    assert_eq!(index.expire(0, 2, 1_000 + retention_s), 0);
    assert_eq!(index.len(), 2);
    assert_eq!(index.expire(0, 2, 1_000 + retention_s + 600), 1);
    assert_eq!(index.len(), 1);
    assert!(index.get(request(2).key).is_some());
}

/// Many large answers: the memory of the runner stays bounded, attempts whose answer was dropped
/// are still known as run, and no ended attempt can be granted again.
#[test]
fn memory_of_cached_answers_is_bounded() {
    let mut attempts = Attempts::default();
    for nonce in 0..20_000 {
        attempts.claim_requested(nonce);
        assert!(attempts.claim_granted(nonce));
        let cached = CachedAnswer { status: 200, content_type: None, body: vec![0; 100 << 10] };
        attempts.ran(nonce, cached, ms(nonce));
        assert!(attempts.bytes() <= 8 << 20);
        assert!(!attempts.claim_granted(nonce));
    }
    assert!(attempts.len() <= 16_384);
    assert!(matches!(attempts.get(19_999), Some(AttemptState::Ran(Some(_)))));
    assert_eq!(attempts.get(10_000), Some(&AttemptState::Ran(None)));
    assert_eq!(attempts.get(1), None);
    attempts.not_run(30_000, ms(20_000 + 600_000));
    assert_eq!((attempts.len(), attempts.bytes()), (1, 0));
}

/// Two callers that choose the same key have separate claims. When a node leaves, only its own
/// partitions get another owner.
#[test]
fn keys_are_per_caller_and_owners_are_stable() {
    let shop = ClaimKey::new("sync", "shop", "1");
    assert_ne!(shop, ClaimKey::new("sync", "payroll", "1"));
    assert_ne!(ClaimKey::new("sync", "a", "bc"), ClaimKey::new("sync", "ab", "c"));
    let names = ["a", "b", "c", "d", "e", "f", "g"];
    for partition in 0..16 {
        let all = partition_owner(partition, names).unwrap();
        let fewer = partition_owner(partition, names.into_iter().filter(|n| *n != "c")).unwrap();
        assert!(all == fewer || all == "c");
    }
    assert_eq!(partition_owner(0, []), None);
}

/// Of the refusals of claims, only those of a claim that was not recorded and of a key that is used
/// with another body report "not run".
#[test]
fn only_unrecorded_claims_report_not_run() {
    let run = |kind: Kind| kind.response().run;
    assert_eq!(run(Kind::ClaimUnavailable), RunStatus::NotRun);
    assert_eq!(run(Kind::KeyReused), RunStatus::NotRun);
    assert_eq!(run(Kind::InProgress), RunStatus::Unknown);
    assert_eq!(run(Kind::OutcomeUnknown), RunStatus::Unknown);
    assert_eq!(run(Kind::AlreadyRan), RunStatus::Ran);
}
