//! Whether a run gets on where it is.

use std::time::Duration;

use cactuswheel_model::Time;

use crate::attempt::Attempt;

/// Time without progress after which a run stands still. A worker that works shows progress of a
/// hundredth several times within it, for runs of up to a minute.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after which a lasting run that is not at work is started elsewhere. It begins to work
/// within a second or two; away for much longer it counts against its step's budget.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Whether a run stands still: its worker lists it, and it makes no progress.
///
/// How slow a run is says nothing: callers' guesses are off by two and more, and a bound of four
/// times the guess moved 71 sound runs in half a minute without any fault.
pub(crate) fn is_stalled(attempt: &Attempt, lasting: bool, now: Time) -> bool {
    let still = now.since(attempt.last_progress);
    match lasting {
        true => attempt.percent < 100 && still >= STARTUP_TIMEOUT,
        false => still >= STALL_TIMEOUT,
    }
}
