//! Seeds of histories.

use quickcheck::{Arbitrary, Gen};

/// The seed of a generated history, as input of a property.
///
/// A smaller seed is not a smaller history, so a failure is reported as it is found.
#[derive(Debug, Clone, Copy)]
pub struct Seed(
    /// Invariant: below a million, to be typed in again.
    pub u64,
);

impl Arbitrary for Seed {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(u64::arbitrary(g) % 1_000_000)
    }
}
