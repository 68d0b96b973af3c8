//! How much of a trainer's next step is started before its weights are there.
//!
//! Load pattern: while a trainer trains, the engines would have nothing to do for it, and while
//! they make its samples, the trainer is idle. Samples started early fill the gap, and
//! are one version older when they are used. The bundle's `idle_weight` says which
//! counts more; what it buys is measured in docs/design/046-two-objectives.md.

/// Samples of the next step to start now. `idle_weight` goes from 0 (only staleness counts) to
/// 1 (only idle time); `bound` is the staleness bound in versions.
pub fn ahead(idle_weight: f64, samples: u32, bound: u64) -> u32 {
    if bound == 0 {
        return 0;
    }
    (f64::from(samples) * idle_weight.clamp(0.0, 1.0)).round() as u32
}
