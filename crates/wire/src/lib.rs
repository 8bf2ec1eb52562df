//! What entries say to each other: Thrift messages carried by tarpc calls.
//!
//! Messages and plumbing only. Who talks to whom, how often and what follows from it is
//! decided elsewhere; what the libraries offer for membership or discovery stays unused.

mod answers;
mod codec;
mod error;
mod generated;
mod link;
mod peer;

pub use answers::{PeerHandler, serve};
pub use codec::{decode, encode};
pub use error::WireError;
pub use generated::peer::{Beat, Chunk, Denial, Given, Tail};
pub use link::Link;
