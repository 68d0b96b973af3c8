//! A batch job: many samples that are submitted at once, run and scored, and whose results are
//! listed.

mod job;
mod order;
mod sample;
mod text;

pub use job::{FinishEffect, ItemResult, ItemState, Job, JobSpec};
pub use order::JobOrder;
pub use sample::{ItemSpec, Score, Scorer};
pub use text::{Event, EventReader, SampleText, SavedProgress, StreamError, TextDelta, TextLimit};
