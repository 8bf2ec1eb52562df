//! Which waiting job goes to which worker.
//!
//! Decides only. Its placements are proposals: the fold of the log judges them again, so two
//! planners at work at once cost a refused record and nothing else.

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
