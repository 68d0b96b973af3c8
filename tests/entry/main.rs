//! Tests of entry nodes, which keep all lasting state in a key-value service, on a paused clock.
#![allow(clippy::unwrap_used)]

mod bulk;
mod calls;
mod crashing_requests;
mod endless_responses;
mod failing_items;
mod feeds;
mod jobs;
mod large_fleets;
mod links;
mod orders;
mod owed_items;
mod peers;
mod quarantines;
mod reads;
mod relays;
mod route_versions;
mod scale;
mod shares;
mod silent_streams;
mod stale_reads;
mod stopping;
mod unanswered_runs;
mod uneven_nodes;
mod usage;
mod versions;
mod views;
mod world;
