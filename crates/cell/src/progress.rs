//! Detection of runs that make no progress.

use std::time::Duration;

use cactuswheel_model::Time;

use crate::attempt::Attempt;

/// Time without progress after which a run counts as stalled. On a healthy worker, the progress
/// of a run of up to a minute increases by one percent several times within this time.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after which a long-running run that is not active is restarted elsewhere. Such a run
/// becomes active within a second or two; while it is not, it counts against its step's
/// disruption budget.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Whether a run is stalled: its worker lists it, but it makes no progress.
///
/// The speed of a run is no criterion. Callers' run-time estimates are off by a factor of two or
/// more. With a limit of four times the estimate, 71 healthy runs were moved in half a minute
/// although there was no fault.
pub(crate) fn is_stalled(attempt: &Attempt, lasting: bool, now: Time) -> bool {
    let idle = now.since(attempt.last_progress);
    match lasting {
        true => attempt.percent < 100 && idle >= STARTUP_TIMEOUT,
        false => idle >= STALL_TIMEOUT,
    }
}
