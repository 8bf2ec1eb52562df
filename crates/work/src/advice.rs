//! Use of the policy service, which restricts the workers that may run the steps of a queue.

use cactuswheel_model::Millis;

/// How long calls to the policy service take and how long its permissions are valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Advice {
    /// Duration of each call, whatever the number of workers.
    pub base: Millis,
    /// Additional duration for each worker that the call asks about.
    pub each: Millis,
    /// How long a permission is valid.
    pub valid: Millis,
}
