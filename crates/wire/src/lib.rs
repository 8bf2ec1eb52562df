//! Communication between entries: Thrift messages in tarpc calls.
//!
//! This crate only has the messages, their encoding, and the client and server. The daemon decides
//! which entries call each other, how often, and what to do with the results. Features of the
//! libraries for membership or discovery are not used.

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
