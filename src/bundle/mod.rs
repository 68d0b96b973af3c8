//! The bundle: what operators state, how it is checked, signed and adopted.

mod adopt;
mod bundle;
mod envelope;
mod operators;
mod spec;

pub use adopt::{Adopted, Adoption, Ahead};
pub use bundle::Bundle;
pub use envelope::{Envelope, Rejected, Signature, sign};
pub use operators::{BadKey, Operators, parse_key};
pub use spec::{CallerSpec, Engine, Flavour, ServiceSpec, TrainerSpec};
