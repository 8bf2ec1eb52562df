//! Randomized fault soak: runs real nodes as separate processes on loopback and injects faults
//! from outside them: signals to nodes, proxies that stall, delay and reset connections, worker
//! crashes, and a store that compacts its history, loses replies and rejects requests. A rolling
//! run has planned stops alone. In both, callers hold connections open until a node closes them.
//!
//! Test support only. Whether a run passes is decided by what callers and workers observe. It
//! terminates only processes that it has started.

mod caller;
mod disturbances;
mod job_book;
mod line;
mod node;
mod plan;
mod proxy;
mod rolling;
mod session;
mod soak;
mod supervisor;
mod trail;
mod world;

pub use caller::{AcceptedJob, Caller};
pub use node::Node;
pub use plan::{Action, Pick, Step, draw_steps};
pub use proxy::{Mode, Proxy};
pub use rolling::rolling;
pub use session::{CLOSE_SLACK, Exchange, Outcome, Session};
pub use soak::{Report, soak};
pub use trail::{Complaint, Flaw, Trail};
pub use world::World;
