//! Jobs: submissions, placements and results as recorded in the log.

mod job;
mod phase;
mod store;
mod worker;

pub use job::Job;
pub use phase::JobPhase;
pub use store::Jobs;
pub use worker::Worker;
