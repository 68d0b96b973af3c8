//! The order in which the samples of a step begin, and which samples get a raised priority.
//!
//! Load pattern: samples come in groups, a step waits for the last sample of its
//! last group, and a sample's time grows with its length. If samples begin in the order of
//! their numbers, a long sample that begins last runs alone while the trainer is
//! idle. Starting more samples than needed and keeping the first ones would
//! also avoid that, but a model trained on them learns from short samples only; so
//! no sample is ever dropped for being slow. Longest processing time
//! first takes at most 4/3 of the time of the best schedule (Graham, 1969).

use super::{GroupSpec, Slot};

/// The priority of an ordinary sample.
pub const NORMAL_PRIORITY: i32 = 0;
/// The priority of a sample that others wait for.
pub const RAISED_PRIORITY: i32 = 1;

/// Samples of a step that may run per slot of the upstreams: enough that a slot which
/// becomes free is taken at once, few enough that this module determines the order and not the
/// upstream's queue.
const RUNNING_PER_UPSTREAM_SLOT: usize = 2;

/// Returns the maximum number of samples of a step that run at the same time, given the number
/// of slots of the upstreams.
pub fn max_running(upstream_slots: usize) -> usize {
    upstream_slots.saturating_mul(RUNNING_PER_UPSTREAM_SLOT).max(1)
}

/// Sorts samples into the order in which they begin: groups with the longest samples
/// first, and the samples of a group together, so that groups become complete early.
pub fn order_slots(slots: &mut [Slot], groups: &[GroupSpec]) {
    let length = |slot: &Slot| groups.get(slot.group as usize).map_or(0, |g| g.max_tokens);
    slots.sort_by(|a, b| length(b).cmp(&length(a)).then(a.cmp(b)));
}

/// Returns the priority of a sample: raised if at most a quarter of its group is unfinished, or
/// if no other sample of the step is waiting to begin.
pub fn sample_priority(open: usize, size: usize, waiting: usize) -> i32 {
    if open * 4 <= size || waiting == 0 { RAISED_PRIORITY } else { NORMAL_PRIORITY }
}
