//! A session of one partition, replayed from recorded events and compared with a golden file.

use std::fmt::Write;
use std::time::Duration;

use mulberrycourse::decide::claim::{
    ClaimJournal, ClaimKey, ClaimOutcome, ClaimRequest, JournalAction, JournalEntry, PartitionHead,
    Segment, SwapResult,
};
use serde::Deserialize;

/// A recorded event. Times are in milliseconds since the start.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Event {
    Request {
        key: String,
        body: u64,
        nonce: u64,
        runner: String,
    },
    Ended {
        key: String,
        nonce: u64,
        end: ClaimOutcome,
    },
    /// The platform answers the read of the head.
    HeadRead,
    /// The read of the head fails.
    HeadUnread,
    /// The platform answers the read of the segments.
    SegmentsRead,
    /// The platform executes the latest swap, and answers.
    SwapDone,
    /// The platform executes the latest swap, and the reply is lost.
    SwapLost,
    /// The latest swap is not sent.
    SwapUnsent,
    /// Another node takes over the partition.
    Sealed {
        by: String,
    },
    /// Only time passes.
    Tick,
}

/// The partition as the platform stores it.
#[derive(Debug, Default)]
struct Platform {
    head: Option<(PartitionHead, u64)>,
    segments: Vec<Segment>,
    /// The latest swap that the journal requested: expected revision, head and full segment.
    swap_request: Option<(u64, PartitionHead, Option<Segment>)>,
}

impl Platform {
    /// Executes the latest swap.
    fn swap(&mut self) -> SwapResult {
        let (expected, head, segment) = self.swap_request.clone().expect("a swap was requested");
        let current = self.head.as_ref().map_or(0, |(_, revision)| *revision);
        if current != expected {
            return SwapResult::Conflict(self.head.clone());
        }
        self.segments.extend(segment);
        self.head = Some((head, current + 1));
        SwapResult::Done(current + 1)
    }
}

fn key(key: &str) -> ClaimKey {
    ClaimKey::new("sync", "shop", key)
}

/// Passes an event to the journal and ticks it.
fn handle(journal: &mut ClaimJournal, platform: &mut Platform, event: Event, now: Duration) {
    match event {
        Event::Request { key: name, body, nonce, runner } => {
            let request =
                ClaimRequest { key: key(&name), fingerprint: body, nonce, runner: runner.into() };
            journal.request(request, now);
        }
        Event::Ended { key: name, nonce, end } => {
            journal.call_ended(key(&name), nonce, end, now);
        }
        Event::HeadRead => journal.head_read(Ok(platform.head.clone()), now),
        Event::HeadUnread => journal.head_read(Err(()), now),
        Event::SegmentsRead => journal.segments_read(Ok(platform.segments.clone()), now),
        Event::SwapDone => {
            let result = platform.swap();
            journal.swap_completed(result, now);
        }
        Event::SwapLost => {
            platform.swap();
            journal.swap_completed(SwapResult::Unknown, now);
        }
        Event::SwapUnsent => journal.swap_completed(SwapResult::Unsent, now),
        Event::Sealed { by } => {
            let (head, revision) = platform.head.as_mut().expect("there is a head");
            *head =
                PartitionHead { epoch: head.epoch + 1, owner: by.into(), nonce: 0, ..head.clone() };
            *revision += 1;
        }
        Event::Tick => {}
    }
    journal.tick(now);
}

/// Returns the line for an action, without the nonces of commits, which are random.
fn format_action(action: &JournalAction) -> String {
    let entry = |e: &JournalEntry| match e {
        JournalEntry::Claim { request, .. } => {
            format!("claim {:?} by {} #{}", request.key, request.runner, request.nonce)
        }
        JournalEntry::End { key, nonce, outcome } => format!("end {key:?} #{nonce} {outcome:?}"),
    };
    match action {
        JournalAction::Swap { expected, head, segment } => {
            let tail: Vec<String> = head.tail.iter().map(entry).collect();
            let PartitionHead { epoch, owner, first, next, .. } = head;
            format!(
                "swap at {expected}: epoch {epoch} of {owner}, segments {first}..{next}, \
                 full {}, tail [{}]",
                segment.is_some(),
                tail.join(", "),
            )
        }
        JournalAction::ReadHead | JournalAction::ReadSegments(_) | JournalAction::Reply { .. } => {
            format!("{action:?}")
        }
    }
}

/// The owner of a partition opens it, misses the reply to a commit, decides about repeated calls
/// and a released key, goes through an outage of the platform, is fenced by a new owner and takes
/// the partition over again.
#[test]
fn session() {
    let json = include_str!("session.json");
    let events: Vec<(u64, Event)> = serde_json::from_str(json).expect("the record parses");
    let mut journal = ClaimJournal::new("n0".into(), 1_000_000, 1);
    let mut platform = Platform::default();
    let mut text = String::new();
    for (at_ms, event) in events {
        let _ = writeln!(text, "{at_ms} ms {event:?}");
        handle(&mut journal, &mut platform, event, Duration::from_millis(at_ms));
        for action in journal.take_actions() {
            let _ = writeln!(text, "    {}", format_action(&action));
            if let JournalAction::Swap { expected, head, segment } = action {
                platform.swap_request = Some((expected, head, segment));
            }
        }
    }
    insta::assert_snapshot!(text);
}
