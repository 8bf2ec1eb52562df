//! What a worker's going on says for the runs that were started on it.

use std::time::Duration;

use cactuswheel_model::Time;

use crate::attempt::Attempt;

/// Time for which a worker has to go on after a start before its end says little against that run.
const PROBATION: Duration = Duration::from_millis(100);

/// Time at work after which earlier crashes of a task's workers say nothing against it any more.
const EXONERATION: Duration = Duration::from_secs(10);

impl Attempt {
    /// Whether a worker that last answered at `alive` has outlived the start of this run.
    pub(crate) fn passed_probation(&self, alive: Time) -> bool {
        self.ran_for(alive, PROBATION)
    }

    /// Whether the run was there for so long that it has hardly anything to do with its worker's end.
    pub(crate) fn is_exonerated(&self, alive: Time) -> bool {
        self.ran_for(alive, EXONERATION)
    }

    fn ran_for(&self, alive: Time, least: Duration) -> bool {
        // An order without an answer may be carried out at any time.
        self.start_confirmed && alive >= self.started.after(least)
    }
}
