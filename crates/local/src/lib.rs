//! Stand-in of the customers' platform on loopback, for tests, the soak and local trials: its
//! store, workers and instances run in the memory of one process.
//!
//! It implements the part of the platform's protocol that the nodes use. It also keeps a ledger of
//! all runs, from which tests detect violations: runs of one task on two workers at the same time,
//! tasks that were started again after their end was acknowledged, and tasks of one job that were
//! started with different specs.

mod instances;
mod ledger;
mod platform;
mod query;
mod state;
mod store;
mod worker;

pub use ledger::Ledger;
pub use platform::{Platform, Pool};
pub use state::Faults;
