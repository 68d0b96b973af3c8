//! Heads and segments at the platform.

use std::ops::Range;

use crate::decide::claim::{FORMAT_VERSION, PartitionHead, SEGMENT_SLOTS, Segment, SwapResult};
use crate::edge::peer::{decode, encode};
use crate::edge::platform::{PlatformClient, SwapOutcome, VersionedValue};
use crate::metrics::PlatformUse;

fn head_key(partition: u16) -> String {
    format!("claims/{partition:02x}/head")
}

/// The place of a segment in the ring; 16 neighbours share all but the last digit.
fn place(partition: u16, number: u64) -> String {
    format!("claims/{partition:02x}/segment/{:03x}", number % SEGMENT_SLOTS)
}

/// Reads the head, with its revision.
pub(super) async fn head(
    platform: &PlatformClient,
    partition: u16,
) -> Result<Option<(PartitionHead, u64)>, ()> {
    match platform.get(&head_key(partition), PlatformUse::Claim).await {
        Ok(None) => Ok(None),
        Ok(Some(kept)) => parsed(&kept).map(|head| Some((head, kept.revision))),
        Err(e) => {
            tracing::warn!(event = "claim_head_unread", partition, error = %e);
            Err(())
        }
    }
}

/// Reads segments; those that are not there are missing in the result.
pub(super) async fn segments(
    platform: &PlatformClient,
    partition: u16,
    range: Range<u64>,
) -> Result<Vec<Segment>, ()> {
    let mut prefix = place(partition, range.start);
    prefix.pop();
    let listed = platform.list(&prefix, PlatformUse::Claim).await;
    let (kept, _) = listed.map_err(|e| {
        tracing::warn!(event = "claim_segments_unread", partition, error = %e);
    })?;
    let segments = kept.iter().filter_map(|k| decode::<Segment>(&k.value).ok());
    let mut wanted: Vec<Segment> = segments.filter(|s| range.contains(&s.number)).collect();
    wanted.sort_by_key(|s| s.number);
    Ok(wanted)
}

/// Replaces the head, and writes a full segment with it.
pub(super) async fn swap(
    platform: &PlatformClient,
    partition: u16,
    expected: u64,
    head: &PartitionHead,
    full: Option<Segment>,
) -> SwapResult {
    let also: Result<Vec<_>, _> =
        full.iter().map(|s| encode(s).map(|bytes| (place(partition, s.number), bytes))).collect();
    let (Ok(value), Ok(also)) = (encode(head), also) else {
        tracing::error!(event = "claim_unencodable", partition);
        return SwapResult::Unsent;
    };
    let key = head_key(partition);
    match platform.compare_and_swap(&key, expected, value, also, PlatformUse::Claim).await {
        SwapOutcome::Done(revision) => SwapResult::Done(revision),
        SwapOutcome::Conflict(None) => SwapResult::Conflict(None),
        SwapOutcome::Conflict(Some(kept)) => {
            let found = parsed(&kept).ok().map(|head| (head, kept.revision));
            SwapResult::Conflict(found)
        }
        SwapOutcome::Unknown(reason) => {
            tracing::warn!(event = "claim_commit_unknown", partition, reason);
            SwapResult::Unknown
        }
        SwapOutcome::Unsent(reason) => {
            tracing::warn!(event = "claim_commit_unsent", partition, reason);
            SwapResult::Unsent
        }
    }
}

fn parsed(kept: &VersionedValue) -> Result<PartitionHead, ()> {
    match decode::<PartitionHead>(&kept.value) {
        Ok(head) if head.format == FORMAT_VERSION => Ok(head),
        Ok(head) => {
            tracing::error!(event = "claim_format", key = kept.key, format = head.format);
            Err(())
        }
        Err(e) => {
            tracing::error!(event = "claim_head_garbled", key = kept.key, error = %e);
            Err(())
        }
    }
}
