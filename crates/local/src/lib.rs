//! The platform on loopback: its store, workers and instances, in the memory of one process.
//!
//! A stand-in for tests, the soak and a first look; it speaks the platform's protocol as far as
//! the nodes use it. It also keeps the ledger that tests judge by: which runs were there at the
//! same time, and which tasks were started again after their end was acknowledged.

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
