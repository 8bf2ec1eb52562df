//! In-memory substitutes for the systems that cactuswheel depends on: the platform and upstreams.
//!
//! For tests and for the embedded default mode only. Tests inject faults over HTTP.

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
