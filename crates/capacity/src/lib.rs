//! Which instances serve which pool, and when each has its maintenance.
//!
//! A pure machine: [`Planner::plan`] takes what the cell and the platform say and gives actions.
//! It has no clock and does no I/O; whoever carries the actions out tells it the outcomes.
//!
//! Answers demand that goes round between the pools of a fleet: each is asked for several times
//! its mean for some seconds and for next to nothing in between. An instance in use earns more
//! than ten times what it costs, so a pool grows at once and with some room to spare; one that
//! idles costs as much in a second or two as a move, so it leaves after about that time.

mod action;
mod fleet;
mod history;
mod moves;
mod planner;
mod policy;
mod pool;
mod rate;
mod share;
mod snapshot;
mod targets;
mod trend;
mod waves;

pub use action::Action;
pub use history::{LastOwner, MAX_EXPIRY, OrderRecord, Reservation, reservations};
pub use planner::{History, Planner, Timings};
pub use policy::PoolPolicy;
pub use snapshot::Snapshot;
