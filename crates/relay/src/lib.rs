//! Relays: nodes that send the owner's orders to workers.
//!
//! Starting a task or polling a worker takes a few hundred bytes and a connection, so the owner of
//! a cell on a slow link can do so for a few dozen workers only. Other nodes offer to relay orders,
//! each for as many workers as its link and processor allow, and the owner uses one connection to
//! each of them.
//!
//! This crate assigns workers to relays, tracks the orders in flight at relays, encodes poll
//! results as deltas, and keeps track of job specs that nodes have cached. It makes no decisions
//! about jobs and does no I/O; the caller passes in the time. An order through a relay is as safe
//! as a direct one: without an answer, its outcome is unknown, and workers reject a late order by
//! its fencing token.

mod capacity;
mod newest_poll;
mod offer;
mod pending;
mod poll_delta;
mod relay_term;
mod relays;
mod site;
mod spec_cache;
mod spec_digest;
mod spec_origins;

pub use capacity::Capacity;
pub use newest_poll::NewestPoll;
pub use offer::{Offer, Reply};
pub use pending::Pending;
pub use poll_delta::{DeltaDecoder, DeltaEncoder, PollDelta, Row};
pub use relay_term::RelayTerm;
pub use relays::{LostOrder, Relays, Route};
pub use site::Site;
pub use spec_cache::SpecCache;
pub use spec_digest::SpecDigest;
pub use spec_origins::SpecOrigins;
