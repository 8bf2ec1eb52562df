//! The little HTTP that the control side shares: one JSON call with a time limit, and a
//! server loop for JSON handlers.
//!
//! Not the path of a caller's request: `cactuswheeld` has its own proxy for that.

mod body;
mod call;
mod meter;
mod reply;
mod server;

pub use body::{MAX_JSON_BYTES, parse_json, read_json};
pub use call::{Answer, Call, CallError};
pub use meter::{Meter, MeteredStream};
pub use reply::{Body, Reply, json, text};
pub use server::serve;
