//! Decides which runs are stopped so that waiting work with a better rank can start in time.
//!
//! A pure decision over plain data: the scheduler describes the waiting tasks, the workers that it
//! looked at and the room that returns by itself, and carries out the stops that are returned.
//! Stopping a run throws work away, so a run is stopped only if the whole waiting step starts in
//! time by it, and would not without.

mod budget;
mod plan;
mod policy;
mod returns;
mod snapshot;

pub use budget::Budget;
pub use plan::{Preemption, preempt};
pub use policy::PreemptPolicy;
pub use returns::Returns;
pub use snapshot::{Candidate, Demand, Snapshot, Victim, VictimClass};
