//! Runs property tests with a fixed seed.

use std::fmt::Debug;

use quickcheck::{Gen, QuickCheck, Testable};

/// Upper limit of the size of generated values, as [`Gen`] defines it.
const MAX_SIZE: usize = 60;

/// Runs `property` on `cases` inputs generated from `seed`. Discarded inputs do not count, up to
/// ten times as many inputs in all.
///
/// # Panics
///
/// If the property fails; the message contains the seed.
pub fn check<P: Testable>(seed: u64, cases: u64, property: P) {
    let mut runner = QuickCheck::new()
        .rng(Gen::from_size_and_seed(MAX_SIZE, seed))
        .tests(cases)
        .max_tests(cases * 10);
    if let Err(failure) = runner.quicktest(property).map_err(describe) {
        panic!("seed {seed}: {failure}");
    }
}

fn describe(failure: impl Debug) -> String {
    format!("{failure:?}")
}
