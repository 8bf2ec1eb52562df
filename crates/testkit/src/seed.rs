//! Seeds as inputs of properties.

use quickcheck::{Arbitrary, Gen};

/// The seed of a simulated history, as the input of a property.
///
/// A smaller seed does not give a shorter history, so failing seeds are not shrunk.
#[derive(Debug, Clone, Copy)]
pub struct Seed(
    /// The seed; generated ones are below a million, so that they are easy to type in again.
    pub u64,
);

impl Arbitrary for Seed {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(u64::arbitrary(g) % 1_000_000)
    }
}
