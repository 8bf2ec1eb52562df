//! Scheduling: assigns queued jobs to workers.
//!
//! This crate makes decisions only and has no side effects. Placements are proposals, which are
//! validated again when the log record is applied to the state. If two planners run at the same
//! time, the only cost is a refused record.

mod fair_queue;
mod leader;
mod planner;
mod pool_capacity;
mod proposal;
mod size_estimates;
mod worker;

pub use leader::is_leader;
pub use planner::{Limits, Planner};
pub use proposal::Proposal;
pub use size_estimates::SizeEstimates;
pub use worker::{Candidate, LiveWorker};
