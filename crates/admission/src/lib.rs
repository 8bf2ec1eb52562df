//! Admission control of an entry: denied keys, the limits of teams and fair queueing.
//!
//! The crate is pure logic: it does no I/O and reads no clock. The daemon calls it to admit each
//! request and again when the request has ended.

mod contact;
mod denials;
mod flow;
mod holder;
mod mean;
mod mesh;
mod queue;
mod queue_request;
mod shares;
mod unit_counter;

pub use contact::LastContact;
pub use denials::Denials;
pub use holder::Holder;
pub use mean::Mean;
pub use mesh::{MeshNode, peers};
pub use queue::{Concurrency, Queue};
pub use queue_request::QueueRequest;
pub use shares::{Shares, TeamUsage};
pub use unit_counter::UnitCounter;
