//! Planner that assigns instances to service pools and schedules their maintenance.
//!
//! [`Planner::plan`] is a pure state machine: it takes a snapshot of the cell and the platform and
//! returns actions. It has no clock and does no I/O. Its caller executes the actions and reports
//! the outcome of orders with [`Planner::record_outcome`].
//!
//! The planner is designed for demand that rotates among the pools of a fleet: each pool is asked
//! for several times its mean load for some seconds, and for almost nothing in between. An instance
//! in use earns more than ten times what it costs, so a pool grows immediately and with some
//! headroom. An instance that idles for a second or two costs as much as a move, so it is released
//! after about that time.

mod action;
mod fleet;
mod history;
mod hold_log;
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
