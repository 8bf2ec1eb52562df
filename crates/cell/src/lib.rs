//! The scheduler of one cell: the jobs that were assigned to it, the workers of its services and
//! what runs where.
//!
//! A pure machine. Whoever owns the cell tells it what happened ([`Cell::submit`],
//! [`Cell::looked`], ...) and carries out what [`Cell::poll`] asks for. It has no clock, socket
//! or random source; a takeover builds it anew from the journal with [`Cell::restore`].
//!
//! What it promises, however late or lost the answers to orders are:
//! - a run is journaled before its order goes out, and an end before it is acknowledged;
//! - a run whose order has no answer keeps its room, its team's quota and its task until the
//!   worker's own lists, read under a newer fencing token, settle it;
//! - a task has one run at a time, unless its step is speculative.

mod accept;
mod admission;
mod advice;
mod attempt;
mod backlog;
mod batch;
mod blame;
mod bounds;
mod cell;
mod choices;
mod commit;
mod crash;
mod demand;
mod ends;
mod evacuation;
mod finished;
mod forecast;
mod free_index;
mod hand_in;
mod health;
mod job;
mod jobs;
mod journal;
mod learned;
mod listing;
mod loads;
mod looks;
mod losses;
mod output;
mod pacing;
mod place;
mod policy;
mod probation;
mod progress;
mod rank;
mod reads;
mod run_state;
mod running;
mod schedule;
mod shares;
mod starts;
mod tallies;
mod usage;
mod view;
mod wait_queue;
mod worker;
mod workers;

pub use admission::{Slack, StartDelay};
pub use batch::{Batch, BatchId};
pub use bounds::Bounds;
pub use cell::Cell;
pub use finished::Finished;
pub use forecast::{Forecast, SLOT_MS, SLOTS};
pub use hand_in::{HandIn, Standing};
pub use journal::{DecodeError, JobRecord, decode, encode};
pub use learned::Arrivals;
pub use output::Output;
pub use policy::WorkPolicy;
pub use reads::{Known, Reads};
pub use shares::ShareRule;
pub use tallies::Tallies;
pub use view::{JobView, Load, RunView, WorkerView};
pub use worker::RENEW_WITHOUT_STORE;
