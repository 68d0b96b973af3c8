//! How often the requests of a job have failed, and whether they may run again.
//!
//! Load pattern: one request in a hundred fails each time that it runs, while replicas hang, owners
//! of jobs restart one after the other, and trainers submit the same items again. A count that
//! each task, owner or job keeps for itself multiplies with all of these. A replica that hangs runs
//! what it has received once it goes on, so that a run without a response counts like a failure.

mod failure_count;
mod job_failures;

pub use failure_count::{EarlierRuns, FailureCount, RequestFailure, RetryDecision};
pub use job_failures::{JobFailures, RunSent};
