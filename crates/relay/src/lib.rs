//! Which node carries the owner's orders to which worker.
//!
//! A pure machine for the owner of a cell. Starting a task and looking at a worker take some
//! hundred bytes and a connection each; a single node on a narrow link can do so for a few dozen
//! workers only. Other nodes offer to carry orders for it, each for as many workers as its link
//! and processor allow, and the owner talks to each of them on one connection.
//!
//! It decides nothing about jobs and sends nothing: it has no clock, socket or task. An order is
//! as safe through a relay as on the direct way: what has no answer is unknown, and fencing
//! tokens shut out what comes late.

mod capacity;
mod offer;
mod pending;
mod relays;
mod rows;
mod site;
mod spec_cache;
mod spec_digest;
mod spec_origins;

pub use capacity::Capacity;
pub use offer::{Offer, Reply};
pub use pending::Pending;
pub use relays::{LostOrder, Relays, Route};
pub use rows::{DeltaDecoder, DeltaEncoder, PollDelta, Row};
pub use site::Site;
pub use spec_cache::SpecCache;
pub use spec_digest::SpecDigest;
pub use spec_origins::SpecOrigins;
