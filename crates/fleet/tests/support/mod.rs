//! A small fleet of entries and a fake platform, for property tests of the fold.

mod entry;
mod fake_platform;
mod operators;

pub use entry::{Answer, Entry};
pub use fake_platform::FakePlatform;
pub use operators::{act, first_ticket};
