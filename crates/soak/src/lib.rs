//! Randomized fault soak: runs real nodes as separate processes on loopback and injects faults
//! from outside them: signals to nodes, proxies that stall, delay and reset connections, worker
//! crashes, and a store that compacts its history, loses replies and rejects requests.
//!
//! Test support only. Whether a run passes is decided by what callers and workers observe. It
//! terminates only processes that it has started.

mod caller;
mod node;
mod proxy;
mod session;
mod soak;
mod world;

pub use caller::{AcceptedJob, Caller};
pub use node::Node;
pub use proxy::{Mode, Proxy};
pub use session::{CLOSE_SLACK, Exchange, Outcome, Session};
pub use soak::{Report, soak};
pub use world::World;
