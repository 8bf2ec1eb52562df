//! Who may start work now: keys and teams' limits.
//!
//! Decides only; it does no I/O and reads no clock. The daemon asks it for each request and
//! tells it when the request has ended.

mod gate;

pub use gate::Gate;
