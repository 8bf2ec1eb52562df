//! Which instance serves which pool: plans of moves that make every pool's demand fit.
//!
//! Hard rules: an instance is in one pool; a pool's demand fits after the loss of any one rack
//! and, where asked, of any one data centre; a pool keeps more members than its budget lets
//! go. Every prefix of a plan's moves keeps them. Soft, by [`Weights`]: moves, capacity above
//! demand, roll-out time, spread. Greedy repair, then local search by single moves and
//! exchanges; plain data in and out, no clock, no randomness.

mod baseline;
mod bound;
mod load;
mod machine;
mod need;
mod plan;
mod planner;
mod problem;
mod repair;
mod settings;
mod shorten;
mod snapshot;
mod weights;

pub use baseline::{first_fit, spread_only};
pub use bound::least_capacity;
pub use load::Load;
pub use machine::Machine;
pub use need::Need;
pub use plan::{Cost, Move, Plan, Reason, Shortage};
pub use planner::plan;
pub use problem::Problem;
pub use settings::Settings;
pub use snapshot::problem_of;
pub use weights::Weights;
