//! How long jobs wait at the owner, as a front knows it.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use cactuswheel_cell::{Slack, StartDelay};
use cactuswheel_model::Time;

/// How long jobs wait at the owner, as it has told last.
///
/// Failure: callers that are refused come back, each try with all that the job runs goes over the
/// owner's link, and what the link should carry waits behind them. A front asks with the job's
/// name only until what the owner has told would be over.
#[derive(Debug, Default)]
pub struct Overload(ArcSwapOption<(Time, StartDelay)>);

impl Overload {
    /// The owner has refused a job for these waits.
    pub fn learn(&self, now: Time, waits: StartDelay) {
        self.0.store(Some(Arc::new((now, waits))));
    }

    /// By how much a job with this slack would begin too late, as far as is known.
    pub fn excess(&self, now: Time, slack: Slack) -> Option<Duration> {
        let known = self.0.load();
        let (told, waits) = known.as_deref()?;
        waits.after(now.since(*told)).excess(slack)
    }
}

/// By how much a job would begin too late if nobody has taken jobs for `silence` and a takeover
/// usually takes `usual`: one that takes longer may take as long again.
///
/// Failure: nobody owns the cell for ten seconds, fronts store all that comes, the next owner has to
/// read it before it starts anything and loses the ownership over it, and hundreds of jobs that were
/// accepted never run.
pub fn silence_excess(silence: Duration, usual: Duration, slack: Slack) -> Option<Duration> {
    let excess = silence.saturating_sub(usual + slack.timely);
    (!excess.is_zero()).then_some(excess)
}
