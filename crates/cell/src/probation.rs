//! What a worker's going on says for the runs that were started on it.

use std::time::Duration;

use cactuswheel_model::Time;

use crate::attempt::{Attempt, Phase};

/// Time for which a worker has to go on after a start before its end says nothing against that run.
const PROBATION: Duration = Duration::from_millis(200);

impl Attempt {
    /// Whether a worker that last answered at `alive` has outlived the start of this run.
    pub(crate) fn is_proven(&self, alive: Time) -> bool {
        match (self.phase, self.ordered) {
            // The order may be carried out at any time.
            (Phase::Unknown, _) | (_, None) => self.listed,
            (_, Some(at)) => alive >= at.after(PROBATION),
        }
    }
}
