//! Which instance serves which pool: plans of moves that make every pool's demand fit.
//!
//! Hard rules: an instance is in one pool; a pool's demand fits after the loss of any one rack
//! and, where asked, of any one data centre; a pool keeps more members than its budget lets
//! go. Every prefix of a plan's moves keeps them. Soft, by [`Weights`]: moves, capacity above
//! demand, roll-out time, spread. Greedy repair, then local search by single moves and
//! exchanges; plain data in and out, no clock, no randomness.

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
