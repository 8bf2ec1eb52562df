//! Jobs: what the log says was submitted, placed and ended.

mod job;
mod phase;
mod store;
mod worker;

pub use job::Job;
pub use phase::JobPhase;
pub use store::Jobs;
pub use worker::Worker;
