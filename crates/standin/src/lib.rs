//! Small stand-ins for what cactuswheel meets outside itself: the platform and upstreams.
//!
//! For tests and for the embedded default only. They keep everything in memory, and their
//! faults are switched over HTTP by whoever tests.

mod answer;
mod fault;
mod log;
mod platform;
mod request_fault;
mod roster;
mod run;
mod tasks;
mod upstream;
mod worker_routes;
mod workers;

pub use fault::Fault;
pub use platform::Platform;
pub use run::Run;
pub use tasks::TaskScript;
pub use upstream::Upstream;
pub use workers::{Outage, RebootSettings};
