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
    Ask {
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
    HeadUnread,
    SegmentsRead,
    /// The platform executes the last swap, and answers.
    SwapDone,
    /// The platform executes the last swap, and the answer is lost.
    SwapLost,
    SwapUnsent,
    /// Another node seals the partition in the meantime.
    Sealed {
        by: String,
    },
    Tick,
}

#[derive(Debug, Default)]
struct Platform {
    head: Option<(PartitionHead, u64)>,
    segments: Vec<Segment>,
    swap_request: Option<(u64, PartitionHead, Option<Segment>)>,
}

impl Platform {
    fn swap(&mut self) -> SwapResult {
        let (expected, head, segment) = self.swap_request.clone().expect("a swap was asked for");
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

fn handle(journal: &mut ClaimJournal, platform: &mut Platform, event: Event, now: Duration) {
    match event {
        Event::Ask { key: name, body, nonce, runner } => {
            let ask =
                ClaimRequest { key: key(&name), fingerprint: body, nonce, runner: runner.into() };
            journal.request(ask, now);
        }
        Event::Ended { key: name, nonce, end } => {
            journal.call_ended(key(&name), nonce, end, now);
        }
        Event::HeadRead => journal.head_read(Ok(platform.head.clone()), now),
        Event::HeadUnread => journal.head_read(Err(()), now),
        Event::SegmentsRead => journal.segments_read(Ok(platform.segments.clone()), now),
        Event::SwapDone => {
            let ended = platform.swap();
            journal.swap_completed(ended, now);
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

/// One line for each action, without the nonces of commits, which are random.
fn line(action: &JournalAction) -> String {
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

/// A partition that is opened, loses a reply, has an outage, a repeated call and a released key,
/// and is fenced by a new owner in the end.
#[test]
fn session() {
    let recorded = include_str!("session.json");
    let events: Vec<(u64, Event)> = serde_json::from_str(recorded).expect("the record parses");
    let mut journal = ClaimJournal::new("n0".into(), 1_000_000, 1);
    let mut platform = Platform::default();
    let mut text = String::new();
    for (at, event) in events {
        let _ = writeln!(text, "{at} ms {event:?}");
        handle(&mut journal, &mut platform, event, Duration::from_millis(at));
        for action in journal.take_actions() {
            let _ = writeln!(text, "    {}", line(&action));
            if let JournalAction::Swap { expected, head, segment } = action {
                platform.swap_request = Some((expected, head, segment));
            }
        }
    }
    insta::assert_snapshot!(text);
}
