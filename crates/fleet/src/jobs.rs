//! Jobs: what the log says was submitted, placed and ended.

mod job;
mod phase;
mod sheet;
mod worker;

pub use job::Job;
pub use phase::JobPhase;
pub use sheet::Jobs;
pub use worker::Worker;
