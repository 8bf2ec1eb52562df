//! Outage of the cell's owner, as known to a front end.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cactuswheel_cell::Slack;
use cactuswheel_model::Time;

use crate::call_health::CallHealth;
use crate::overload::outage_excess;

/// Shortest time between two probes of the owner. Callers retry about this often.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Outage of the cell's owner, as known to a front end from the jobs that it handed in.
#[derive(Debug, Default)]
pub struct OwnerOutage {
    hand_ins: CallHealth,
    /// When the last probe of the owner ended, in milliseconds; 0 before the first.
    probed: AtomicU64,
}

/// Whether a job may be handed in to the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outlook {
    /// The job would start in time.
    InTime,
    /// The job would start too late by this much if the owner still takes no jobs; the owner has to
    /// be probed first.
    Unsure(Duration),
    /// The job would start too late by this much unless the owner answers over the connection that
    /// the last probe has left.
    TooLate(Duration),
}

impl OwnerOutage {
    /// Records that the owner answered a job that was handed in.
    pub fn answered(&self, now: Time) {
        self.hand_ins.answered(now);
    }

    /// Records that the owner did not take a job.
    pub fn failed(&self, now: Time) {
        self.hand_ins.failed(now);
    }

    /// Records that a probe of the owner has ended.
    pub fn probed(&self, now: Time) {
        self.probed.store(now.get(), Ordering::Relaxed);
    }

    /// Whether to hand in a job with this slack, if a takeover usually takes `usual`.
    ///
    /// The last job that the owner did not take may be long ago: without a probe, a node would refuse
    /// the first jobs after a quiet time although there is an owner.
    pub fn outlook(&self, now: Time, usual: Duration, slack: Slack) -> Outlook {
        let outage = self.hand_ins.failing_for(now);
        let Some(excess) = outage_excess(outage, usual, slack) else {
            return Outlook::InTime;
        };
        let probed = Time::new(self.probed.load(Ordering::Relaxed));
        match now.since(probed) < PROBE_INTERVAL {
            true => Outlook::TooLate(excess),
            false => Outlook::Unsure(excess),
        }
    }
}
