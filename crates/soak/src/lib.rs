//! Real nodes as separate processes on loopback, with faults from outside them: signals, proxies
//! that silence, delay and reset, workers that crash, a store that forgets and refuses.
//!
//! Test support. It judges by what callers and workers see. It ends only what it has started.

mod caller;
mod node;
mod proxy;
mod soak;
mod world;

pub use caller::{AcceptedJob, Caller};
pub use node::Node;
pub use proxy::{Mode, Proxy};
pub use soak::{Report, soak};
pub use world::World;
