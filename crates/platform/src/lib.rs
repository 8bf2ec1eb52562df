//! The platform as cactuswheel sees it: an append-only log, a roster of instances and
//! control of workers.
//!
//! Traits that decision drivers are generic over, the messages that cross the wire, and the
//! HTTP client that speaks them. The platform's real protocol is not known yet; it is met in
//! this crate alone.

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
