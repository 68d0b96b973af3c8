//! The bundle is the configuration that operators write; this module parses, signs, verifies and
//! adopts it.

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
