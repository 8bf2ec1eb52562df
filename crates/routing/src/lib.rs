//! Which upstream takes a request.
//!
//! Decides only: the daemon tells it which upstreams there are and sends the request itself.

mod lease;
mod routes;
mod upstream;

pub use lease::Lease;
pub use routes::{Candidate, Routes};
pub use upstream::Upstream;
