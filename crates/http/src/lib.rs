//! Shared HTTP code of the control plane: a JSON call with a timeout, and a server loop for JSON
//! handlers.
//!
//! It is not used for forwarding callers' requests: `cactuswheeld` has a proxy of its own for that.

mod body;
mod call;
mod connection;
mod meter;
mod reply;
mod server;

pub use body::{MAX_JSON_BYTES, parse_json, read_json};
pub use call::{Answer, Call, CallError};
pub use connection::Connection;
pub use meter::{Meter, MeteredStream};
pub use reply::{Body, Reply, json, text};
pub use server::serve;
