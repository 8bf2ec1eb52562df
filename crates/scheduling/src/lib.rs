//! Which waiting job goes to which worker.
//!
//! Decides only. Its placements are proposals: the fold of the log judges them again, so two
//! planners at work at once cost a refused record and nothing else.

mod lead;
mod load;
mod planner;
mod proposal;
mod rooms;
mod sizes;
mod turns;

pub use lead::leads;
pub use load::{Slot, WorkerLife};
pub use planner::{Planner, Weights};
pub use proposal::Proposal;
pub use sizes::Sizes;
