//! Stores the heads and segments of the claim journals at the platform.

use std::ops::Range;

use crate::decide::claim::{FORMAT_VERSION, PartitionHead, SEGMENT_SLOTS, Segment, SwapResult};
use crate::edge::peer::{decode, encode};
use crate::edge::platform::{PlatformClient, SwapOutcome, VersionedValue};
use crate::metrics::PlatformPurpose;

fn head_key(partition: u16) -> String {
    format!("claims/{partition:02x}/head")
}

/// Returns the key of a segment. The segments of a partition are stored in a ring of
/// [`SEGMENT_SLOTS`] keys. The keys of 16 neighbours differ only in the last digit.
fn segment_key(partition: u16, number: u64) -> String {
    format!("claims/{partition:02x}/segment/{:03x}", number % SEGMENT_SLOTS)
}

/// Reads the head of a partition, with its revision.
pub(super) async fn read_head(
    platform: &PlatformClient,
    partition: u16,
) -> Result<Option<(PartitionHead, u64)>, ()> {
    match platform.get(&head_key(partition), PlatformPurpose::Claim).await {
        Ok(None) => Ok(None),
        Ok(Some(value)) => parse_head(&value).map(|head| Some((head, value.revision))),
        Err(e) => {
            tracing::warn!(event = "claim_head_read_failed", partition, error = %e);
            Err(())
        }
    }
}

/// Reads the segments in a range of numbers, in order. Segments that do not exist or can't be
/// decoded are missing in the result.
pub(super) async fn read_segments(
    platform: &PlatformClient,
    partition: u16,
    range: Range<u64>,
) -> Result<Vec<Segment>, ()> {
    // Without the last digit, the key is a prefix of the keys of 16 neighbouring segments.
    let mut prefix = segment_key(partition, range.start);
    prefix.pop();
    let listed = platform.list(&prefix, PlatformPurpose::Claim).await;
    let (values, _) = listed.map_err(|e| {
        tracing::warn!(event = "claim_segments_read_failed", partition, error = %e);
    })?;
    let parse = |value: &VersionedValue| {
        decode::<Segment>(&value.value)
            .inspect_err(|e| {
                tracing::error!(event = "claim_segment_malformed", key = value.key, error = %e);
            })
            .ok()
    };
    let segments = values.iter().filter_map(parse);
    let mut wanted: Vec<Segment> = segments.filter(|s| range.contains(&s.number)).collect();
    wanted.sort_by_key(|s| s.number);
    Ok(wanted)
}

/// Replaces the head if its revision is `expected`, and writes a full segment with it.
pub(super) async fn swap_head(
    platform: &PlatformClient,
    partition: u16,
    expected: u64,
    head: &PartitionHead,
    full_segment: Option<Segment>,
) -> SwapResult {
    let also: Result<Vec<_>, _> = full_segment
        .iter()
        .map(|s| encode(s).map(|bytes| (segment_key(partition, s.number), bytes)))
        .collect();
    let (Ok(value), Ok(also)) = (encode(head), also) else {
        tracing::error!(event = "claim_not_encoded", partition);
        return SwapResult::Unsent;
    };
    let key = head_key(partition);
    match platform.compare_and_swap(&key, expected, value, also, PlatformPurpose::Claim).await {
        SwapOutcome::Done(revision) => SwapResult::Done(revision),
        SwapOutcome::Conflict(None) => SwapResult::Conflict(None),
        SwapOutcome::Conflict(Some(value)) => {
            let found = parse_head(&value).ok().map(|head| (head, value.revision));
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

fn parse_head(value: &VersionedValue) -> Result<PartitionHead, ()> {
    match decode::<PartitionHead>(&value.value) {
        Ok(head) if head.format == FORMAT_VERSION => Ok(head),
        Ok(head) => {
            tracing::error!(
                event = "claim_format_unsupported",
                key = value.key,
                format = head.format
            );
            Err(())
        }
        Err(e) => {
            tracing::error!(event = "claim_head_malformed", key = value.key, error = %e);
            Err(())
        }
    }
}
