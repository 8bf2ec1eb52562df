//! The policy of a queue whose steps may run on some workers only.

use cactuswheel_model::Millis;

/// What asking the policy service costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Advice {
    /// Time that each question takes.
    pub base: Millis,
    /// Further time for each worker named.
    pub each: Millis,
    /// How long a permission holds.
    pub valid: Millis,
}
