//! Replays the fleet's log into the fleet's state (a fold): the same records in the same order
//! give the same state on every node.
//!
//! A record is a proposal, which the fold accepts or refuses by fixed rules. Of two conflicting
//! proposals the one with the lower offset wins. This crate does no I/O and reads no clock; its
//! callers pass in the records and publish the resulting state.

mod allotments;
mod assembler;
mod audit;
mod audit_row;
mod config;
mod denials;
mod disruptions;
mod image;
mod jobs;
mod ledger;
mod outcome;
mod recent;
mod replica;
mod rules;
mod snapshot;
mod snapshot_part;
mod snapshot_timer;
mod state;
mod table;

pub use allotments::{AllotmentRow, Allotments, Life, Split};
pub use assembler::Assembler;
pub use audit::Audit;
pub use audit_row::AuditRow;
pub use config::Config;
pub use denials::Denials;
pub use disruptions::{Budget, Disruptions, Outage, Stage};
pub use image::Image;
pub use jobs::{Job, JobPhase, Jobs, Worker};
pub use ledger::Ledger;
pub use outcome::Outcome;
pub use recent::RecentRecords;
pub use replica::{Gap, Progress, Replica};
pub use snapshot::{Snapshot, SnapshotError};
pub use snapshot_timer::{SnapshotPolicy, SnapshotTimer};
pub use state::{Applied, State};
pub use table::Table;
