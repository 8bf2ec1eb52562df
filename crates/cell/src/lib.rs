//! Scheduler of one cell. It tracks the jobs assigned to the cell, the workers of the cell's
//! services, and which run of a task is on which worker.
//!
//! The scheduler is a pure state machine without a clock, sockets or a random source. The cell's
//! owner reports events ([`Cell::submit`], [`Cell::poll_answered`], ...) and carries out the
//! outputs of [`Cell::poll`]. After a takeover, [`Cell::restore`] rebuilds the state from the
//! journal.
//!
//! Guarantees that hold even if answers to orders are delayed or lost:
//! - A run is journaled before its start order is sent, and the end of a run is journaled before
//!   it is acknowledged to the worker.
//! - A run whose start order was not answered keeps its room, its share of the team's quota and
//!   its task until the worker's list of runs, read under a newer fencing token, shows what
//!   became of it.
//! - A task has one run at a time unless its step is speculative.

mod accept;
mod admission;
mod advice;
mod attempt;
mod backlog;
mod batch;
mod blame;
mod blocked;
mod bounds;
mod cell;
mod choices;
mod commit;
mod crash;
mod demand;
mod ends;
mod evacuation;
mod finished;
mod footprint;
mod forecast;
mod free_index;
mod hand_in;
mod health;
mod intake_progress;
mod inventory;
mod job;
mod jobs;
mod journal;
mod learned;
mod listing;
mod loads;
mod losses;
mod misses;
mod occurrences;
mod open_state;
mod output;
mod pacing;
mod place;
mod policy;
mod polls;
mod preempt;
mod probation;
mod progress;
mod queue_limits;
mod rank;
mod rebuild;
mod remaining;
mod roster;
mod run_state;
mod running;
mod schedule;
mod shape;
mod shares;
mod silences;
mod starts;
mod sweep;
mod tallies;
mod team_work;
mod turn_ranges;
mod usage;
mod view;
mod wait_queue;
mod worker;
mod workers;

pub use admission::{Slack, StartDelay};
pub use batch::{Batch, BatchId};
pub use bounds::Bounds;
pub use cactuswheel_preemption::PreemptPolicy;
pub use cell::Cell;
pub use finished::Finished;
pub use footprint::new_job_size;
pub use forecast::{Forecast, SLOT_MS, SLOTS};
pub use hand_in::{HandIn, Standing};
pub use intake_progress::{Coverage, IntakeProgress};
pub use journal::{DecodeError, JobRecord, decode, encode};
pub use learned::Arrivals;
pub use open_state::{OpenState, StateLimits, StateRoom};
pub use output::Output;
pub use policy::WorkPolicy;
pub use rebuild::Rebuild;
pub use shares::ShareRule;
pub use tallies::Tallies;
pub use view::{JobView, Load, RunView, WorkerView};
pub use worker::RENEW_WITHOUT_STORE;
