//! Assignment of instances to pools: plans the moves that make every pool's demand fit.
//!
//! Hard constraints:
//!
//! - An instance is in exactly one pool.
//! - A pool's demand fits after the loss of any one rack and, if requested, of any one data
//!   centre.
//! - A pool has more members than its disruption budget allows to be down at once.
//!
//! Every prefix of a plan's moves keeps the hard constraints. Soft goals, weighted by
//! [`Weights`], are few moves, little capacity above demand, a short roll-out, and spread over
//! racks.
//!
//! The algorithm is a greedy repair followed by local search with single moves and exchanges.
//! It is deterministic: it works on plain data and uses neither a clock nor randomness.

mod baseline;
mod bound;
mod improve;
mod machine;
mod plan;
mod planner;
mod pool_capacity;
mod pool_spec;
mod problem;
mod repair;
mod settings;
mod snapshot;
mod weights;

pub use baseline::{first_fit, spread_only};
pub use bound::least_capacity;
pub use machine::Machine;
pub use plan::{Cost, Move, Plan, Reason, Shortage};
pub use planner::plan;
pub use pool_capacity::PoolCapacity;
pub use pool_spec::PoolSpec;
pub use problem::Problem;
pub use settings::Settings;
pub use snapshot::problem_from_state;
pub use weights::Weights;
