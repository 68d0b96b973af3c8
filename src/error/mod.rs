//! The one closed list of error kinds, and the answer to each.

mod answer;
mod kind;
mod refusal;

pub use answer::{Answer, Run};
pub use kind::Kind;
pub use refusal::{Problem, Refusal};
