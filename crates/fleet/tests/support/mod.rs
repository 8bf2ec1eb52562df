//! A small fleet of state machines for property tests of the fold.

mod cloud;
mod entry;
mod operators;

pub use cloud::Cloud;
pub use entry::{Entry, Said};
pub use operators::{act, first_ticket};
