//! Pacing, the ring of segments, retention and the runner's memory.

use std::time::Duration;

use mulberrycourse::decide::claim::{
    AttemptState, Attempts, CLAIM_RETENTION, CachedAnswer, ClaimDecision, ClaimIndex, ClaimJournal,
    ClaimKey, ClaimOutcome, ClaimRequest, JournalAction, JournalEntry, MAX_SEGMENT_ENTRIES,
    Segment, SwapResult, partition_owner,
};
use mulberrycourse::error::{Kind, Run};

fn ask(number: u64) -> ClaimRequest {
    let key = ClaimKey::new("sync", "shop", &number.to_string());
    ClaimRequest { key, fingerprint: 1, nonce: number, runner: "n0".into() }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A platform that answers at once; returns the revisions and what was asked of it.
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
            let steps = self.journal.take_actions();
            if steps.is_empty() {
                return;
            }
            for step in steps {
                self.step(step, now);
            }
        }
    }

    fn step(&mut self, step: JournalAction, now: Duration) {
        match step {
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

/// A burst: thousands of claims in two seconds share at most one write in 80 ms, and
/// none waits past its limit. Afterwards a successor that reads the segments holds all.
#[test]
fn burst_shares_writes_and_is_read_back() {
    let mut quick = Quick::new(1);
    for tick in 0..2_000 {
        quick.journal.request(ask(2 * tick), ms(tick));
        quick.journal.request(ask(2 * tick + 1), ms(tick));
        quick.run(ms(tick));
    }
    quick.run(ms(2_200));
    assert_eq!((quick.granted, quick.refused), (4_000, 0));
    assert!(quick.swaps <= 1 + 2_200 / 80 + 1, "{} writes", quick.swaps);
    assert!(quick.segments.iter().all(|s| s.entries.len() <= MAX_SEGMENT_ENTRIES));

    let mut successor = Quick { journal: ClaimJournal::new("n1".into(), 1_000_000, 9), ..quick };
    (successor.granted, successor.refused) = (0, 0);
    successor.journal.request(ask(7), ms(3_000));
    successor.run(ms(3_000));
    assert_eq!(successor.journal.len(), 4_000);
    assert_eq!((successor.granted, successor.refused), (0, 1));
}

/// A lone claim is committed within a few milliseconds, not after the spacing.
#[test]
fn lone_claim_hardly_waits() {
    let mut quick = Quick::new(1);
    quick.journal.request(ask(1), ms(1_000));
    quick.run(ms(1_000));
    assert_eq!(quick.journal.next_tick(), Some(ms(1_003)));
    quick.run(ms(1_003));
    assert_eq!(quick.granted, 1);
}

/// A slow platform under a stream of asks: each is refused within its limit, and the
/// queue stays bounded.
#[test]
fn slow_platform_refuses_in_time() {
    let mut journal = ClaimJournal::new("n0".into(), 0, 1);
    let mut refused = 0;
    for now in 0..3_000 {
        journal.request(ask(now), ms(now));
        journal.tick(ms(now));
        let replies =
            journal.take_actions().into_iter().filter(|s| matches!(s, JournalAction::Reply { .. }));
        refused += replies.count() as u64;
        assert!(now + 1 - refused <= 1_000, "{} wait at {now}", now + 1 - refused);
    }
}

/// Asks are given up on before their commit, which goes on in the meantime: each ask has
/// an answer all the same, so nothing is left waiting at the home.
#[test]
fn every_ask_is_answered() {
    let mut journal = ClaimJournal::new("n0".into(), 0, 1);
    let mut open = 0_i64;
    for now in 0..400 {
        let one = ask(now);
        journal.request(one.clone(), ms(now));
        open += 1;
        if now % 3 == 0 {
            journal.call_ended(one.key, one.nonce, ClaimOutcome::NotRun, ms(now));
        }
        journal.tick(ms(now));
        for step in journal.take_actions() {
            match step {
                JournalAction::ReadHead => journal.head_read(Ok(None), ms(now)),
                JournalAction::ReadSegments(_) => journal.segments_read(Ok(vec![]), ms(now)),
                JournalAction::Swap { expected, .. } => {
                    journal.swap_completed(SwapResult::Done(expected + 1), ms(now));
                }
                JournalAction::Reply { .. } => open -= 1,
            }
        }
    }
    for step in (400..2_000).flat_map(|now| {
        journal.tick(ms(now));
        journal.take_actions()
    }) {
        open -= i64::from(matches!(step, JournalAction::Reply { .. }));
    }
    assert_eq!(open, 0);
}

/// Claims outlive the time for which callers may ask again, and go after it.
#[test]
fn retention() {
    let mut index = ClaimIndex::default();
    index.apply(0, &JournalEntry::Claim { request: ask(1), claimed_at: 1_000 });
    index.apply(1, &JournalEntry::Claim { request: ask(2), claimed_at: 2_000 });
    let kept = CLAIM_RETENTION.as_secs();
    assert_eq!(index.expire(0, 2, 1_000 + kept), 0);
    assert_eq!(index.len(), 2);
    assert_eq!(index.expire(0, 2, 1_000 + kept + 600), 1);
    assert_eq!(index.len(), 1);
    assert!(index.get(ask(2).key).is_some());
}

/// Large answers flood the runner: its memory stays bounded, what was dropped is told
/// as already run, and no ended attempt turns into one that may run.
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

/// Two callers choose the same key: each has its own claim. Homes spread over nodes,
/// and only the partitions of a node that goes find another home.
#[test]
fn keys_and_homes() {
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

/// What is told of a claim: only a claim that can't be recorded counts as not run.
#[test]
fn kinds_of_claims() {
    let run = |kind: Kind| kind.answer().run;
    assert_eq!(run(Kind::ClaimUnavailable), Run::NotRun);
    assert_eq!(run(Kind::KeyReused), Run::NotRun);
    assert_eq!(run(Kind::InProgress), Run::Unknown);
    assert_eq!(run(Kind::OutcomeUnknown), Run::Unknown);
    assert_eq!(run(Kind::AlreadyRan), Run::Ran);
}
