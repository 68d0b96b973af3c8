//! What a step begins first, and which samples are raised.
//!
//! Load pattern: samples come in groups, a step waits for the last sample of its
//! last group, and a sample's time grows with its length. Begun in the order of
//! their numbers, a long sample that begins last runs alone while the trainer is
//! idle. Starting more samples than are wanted and keeping the first ones would
//! cure that too, but a model trained on them learns from short samples only; so
//! no sample is ever dropped for being slow. Grounds: longest processing time
//! first is at most 4/3 of the best schedule (Graham, 1969).

use super::{Prompt, Slot};

/// The priority of an ordinary sample.
pub const ORDINARY: i32 = 0;
/// The priority of a sample that others wait for.
pub const RAISED: i32 = 1;

/// Slots that may run for each place at an upstream: enough that a place which
/// becomes free is taken at once, few enough that the order is ours and not the
/// queue's.
const AHEAD: usize = 2;

/// How many slots of a step run at most, with so many places at upstreams.
pub fn window(places: usize) -> usize {
    places.saturating_mul(AHEAD).max(1)
}

/// Puts slots in the order in which they begin: groups with the longest samples
/// first, and each group together, so that groups become whole early.
pub fn order(slots: &mut [Slot], prompts: &[Prompt]) {
    let most = |slot: &Slot| prompts.get(slot.group as usize).map_or(0, |p| p.max_tokens);
    slots.sort_by(|a, b| most(b).cmp(&most(a)).then(a.cmp(b)));
}

/// The priority of a sample: raised if at most a quarter of its group is open, or
/// if the step has nothing else left to begin.
pub fn priority(open: usize, size: usize, unbegun: usize) -> i32 {
    if open * 4 <= size || unbegun == 0 { RAISED } else { ORDINARY }
}
