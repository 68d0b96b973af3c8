//! Commit timing, the ring of segments, retention, and the runner's memory.

use std::time::Duration;

use mulberrycourse::decide::claim::{
    AttemptState, Attempts, CLAIM_RETENTION, CachedAnswer, ClaimDecision, ClaimIndex, ClaimJournal,
    ClaimKey, ClaimOutcome, ClaimRequest, JournalAction, JournalEntry, MAX_SEGMENT_ENTRIES,
    Segment, SwapResult, partition_owner,
};
use mulberrycourse::error::{Kind, RunStatus};

fn request(number: u64) -> ClaimRequest {
    let key = ClaimKey::new("sync", "shop", &number.to_string());
    ClaimRequest { key, fingerprint: 1, nonce: number, runner: "n0".into() }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A journal with a platform that answers immediately, and counts of what they did.
struct Quick {
    journal: ClaimJournal,
    revision: u64,
    head: Option<(mulberrycourse::decide::claim::PartitionHead, u64)>,
    segments: Vec<Segment>,
    swaps: u64,
    granted: u64,
    refused: u64,
}

impl Quick {
    fn new(seed: u64) -> Self {
        let journal = ClaimJournal::new("n0".into(), 1_000_000, seed);
        let (head, segments) = (None, vec![]);
        Self { journal, revision: 0, head, segments, swaps: 0, granted: 0, refused: 0 }
    }

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

/// In a burst, thousands of claims in two seconds share at most one write in 80 ms, and none waits
/// longer than allowed. Afterwards a new owner that reads the segments knows all of them.
#[test]
fn burst_shares_writes_and_is_read_back() {
    let mut quick = Quick::new(1);
    for tick in 0..2_000 {
        quick.journal.request(request(2 * tick), ms(tick));
        quick.journal.request(request(2 * tick + 1), ms(tick));
        quick.run(ms(tick));
    }
    quick.run(ms(2_200));
    assert_eq!((quick.granted, quick.refused), (4_000, 0));
    assert!(quick.swaps <= 1 + 2_200 / 80 + 1, "{} writes", quick.swaps);
    assert!(quick.segments.iter().all(|s| s.entries.len() <= MAX_SEGMENT_ENTRIES));

    let mut successor = Quick { journal: ClaimJournal::new("n1".into(), 1_000_000, 9), ..quick };
    (successor.granted, successor.refused) = (0, 0);
    successor.journal.request(request(7), ms(3_000));
    successor.run(ms(3_000));
    assert_eq!(successor.journal.len(), 4_000);
    assert_eq!((successor.granted, successor.refused), (0, 1));
}

/// A single claim is committed within a few milliseconds, not after the commit interval.
#[test]
fn single_claim_hardly_waits() {
    let mut quick = Quick::new(1);
    quick.journal.request(request(1), ms(1_000));
    quick.run(ms(1_000));
    assert_eq!(quick.journal.next_tick(), Some(ms(1_003)));
    quick.run(ms(1_003));
    assert_eq!(quick.granted, 1);
}

/// With a slow platform, each request is refused in time, and the queue stays bounded.
#[test]
fn slow_platform_refuses_in_time() {
    let mut journal = ClaimJournal::new("n0".into(), 0, 1);
    let mut refused = 0;
    for now in 0..3_000 {
        journal.request(request(now), ms(now));
        journal.tick(ms(now));
        let replies =
            journal.take_actions().into_iter().filter(|s| matches!(s, JournalAction::Reply { .. }));
        refused += replies.count() as u64;
        assert!(now + 1 - refused <= 1_000, "{} wait at {now}", now + 1 - refused);
    }
}

/// Requests that are given up before or during their commit get an answer too, so that nothing is
/// left waiting at the owner.
#[test]
fn every_request_is_answered() {
    let mut journal = ClaimJournal::new("n0".into(), 0, 1);
    let mut open = 0_i64;
    for now in 0..400 {
        let one = request(now);
        journal.request(one.clone(), ms(now));
        open += 1;
        if now % 3 == 0 {
            journal.call_ended(one.key, one.nonce, ClaimOutcome::NotRun, ms(now));
        }
        journal.tick(ms(now));
        for action in journal.take_actions() {
            match action {
                JournalAction::ReadHead => journal.head_read(Ok(None), ms(now)),
                JournalAction::ReadSegments(_) => journal.segments_read(Ok(vec![]), ms(now)),
                JournalAction::Swap { expected, .. } => {
                    journal.swap_completed(SwapResult::Done(expected + 1), ms(now));
                }
                JournalAction::Reply { .. } => open -= 1,
            }
        }
    }
    for action in (400..2_000).flat_map(|now| {
        journal.tick(ms(now));
        journal.take_actions()
    }) {
        open -= i64::from(matches!(action, JournalAction::Reply { .. }));
    }
    assert_eq!(open, 0);
}

/// Claims are kept for as long as callers may retry, and are removed afterwards.
#[test]
fn retention() {
    let mut index = ClaimIndex::default();
    index.apply(0, &JournalEntry::Claim { request: request(1), claimed_at: 1_000 });
    index.apply(1, &JournalEntry::Claim { request: request(2), claimed_at: 2_000 });
    let kept = CLAIM_RETENTION.as_secs();
    assert_eq!(index.expire(0, 2, 1_000 + kept), 0);
    assert_eq!(index.len(), 2);
    assert_eq!(index.expire(0, 2, 1_000 + kept + 600), 1);
    assert_eq!(index.len(), 1);
    assert!(index.get(request(2).key).is_some());
}

/// Many large answers: the memory of the runner stays bounded, attempts whose answer was dropped
/// are still known as run, and no ended attempt can be granted again.
#[test]
fn answers_are_bounded() {
    let mut attempts = Attempts::default();
    for nonce in 0..20_000 {
        attempts.claim_requested(nonce);
        assert!(attempts.claim_granted(nonce));
        let kept = CachedAnswer { status: 200, content_type: None, body: vec![0; 100 << 10] };
        attempts.ran(nonce, kept, ms(nonce));
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
fn keys_and_owners() {
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

/// Of the refusals of claims, only those that were not recorded or name another content report
/// "not run".
#[test]
fn only_unrecorded_claims_are_not_run() {
    let run = |kind: Kind| kind.response().run;
    assert_eq!(run(Kind::ClaimUnavailable), RunStatus::NotRun);
    assert_eq!(run(Kind::KeyReused), RunStatus::NotRun);
    assert_eq!(run(Kind::InProgress), RunStatus::Unknown);
    assert_eq!(run(Kind::OutcomeUnknown), RunStatus::Unknown);
    assert_eq!(run(Kind::AlreadyRan), RunStatus::Ran);
}
