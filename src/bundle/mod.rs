//! The bundle: what operators state, how it is checked, signed and adopted.

mod adoption;
mod bundle;
mod envelope;
mod operators;
mod spec;

pub use adoption::{AdoptedBundle, Adoption, OfferOrder};
pub use bundle::Bundle;
pub use envelope::{BundleError, Envelope, Signature, sign};
pub use operators::{InvalidKey, Operators, parse_key};
pub use spec::{CallerSpec, EngineSpec, ServiceKind, ServiceSpec, TrainerSpec};
