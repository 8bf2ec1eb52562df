//! The fold of the fleet's log: the same records in the same order give the same state on
//! every node.
//!
//! A record is a proposal; the fold accepts or refuses it by rules alone. Races are settled by
//! offset. This crate does no I/O and reads no clock; drivers feed it records and publish the
//! state that comes out.

mod allotments;
mod config;
mod ledger;
mod outcome;
mod rules;
mod state;
mod table;

pub use allotments::{Allotments, Life, Row, Split};
pub use config::Config;
pub use ledger::Ledger;
pub use outcome::Outcome;
pub use state::{Applied, State};
pub use table::Table;
