//! Interface to the platform's services: an append-only log, a roster of instances, and control
//! of workers and their tasks.
//!
//! The crate contains a trait for each service, the messages on the wire, and an HTTP client
//! that implements the traits. The platform's real protocol is not known yet. Only this crate
//! depends on the protocol, so that a change of protocol stays local to it.

mod batch;
mod budget;
mod changes;
mod client;
mod control;
mod error;
mod log;
mod roster;
mod roster_entry;
mod tasks;
mod workers;

pub use batch::{Appended, Batch, Entry};
pub use budget::{AppendBudget, AppendPurpose};
pub use changes::RosterChanges;
pub use client::Client;
pub use error::LogError;
pub use log::{Log, Stream};
pub use roster::{Roster, RosterError};
pub use roster_entry::{Presence, RosterEntry, RosterSnapshot};
pub use tasks::{TaskError, TaskEvent, TaskId, TaskOrder, TaskReport, Tasks};
pub use workers::{Activity, WorkerError, WorkerOrder, WorkerState, Workers};
