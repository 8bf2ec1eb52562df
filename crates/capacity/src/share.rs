//! Dividing a fleet that is too small for all that is asked of it.

use cactuswheel_model::Map;
use cactuswheel_work::ServiceName;

/// What a pool wants, and what it gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Share {
    /// Instances without which lasting work has no place.
    pub(crate) minimum: usize,
    /// Instances wanted now.
    pub(crate) target: usize,
    /// Instances that it keeps.
    pub(crate) keep: usize,
    /// Instances that work which is of no use any more would take.
    pub(crate) overdue: usize,
}

/// Cuts the targets down to a fleet of `usable` instances.
///
/// Answers a fleet that is asked for more than it has: without a division the pool that asked
/// first kept every instance until its backlog was gone, while the next one starved for the
/// seconds in which its own jobs could have met their objectives. Each pool keeps what its
/// lasting work needs; the rest goes in proportion to what each asks for beyond that. What is
/// left over serves jobs that are of no use any more, up to `overdue` of the fleet for a pool.
///
/// Failure: an outage leaves thousands of late tasks, their pool takes every spare instance, and
/// the next queue that turns busy finds none. What is left over in the pool does them too.
pub(crate) fn divide(shares: &mut Map<ServiceName, Share>, usable: usize, overdue_share: f64) {
    let limit = (usable as f64 * overdue_share).ceil() as usize;
    let wanted: usize = shares.values().map(|s| s.target).sum();
    if wanted <= usable {
        let mut remaining = usable - wanted;
        for share in shares.values_mut() {
            let extra = share.overdue.min(remaining).min(limit);
            remaining -= extra;
            share.target += extra;
            share.keep = share.keep.max(share.target);
        }
        return;
    }
    let minimum: usize = shares.values().map(|s| s.minimum).sum();
    let excess = |s: &Share| s.target.saturating_sub(s.minimum);
    let requested: usize = shares.values().map(excess).sum();
    let remaining = usable.saturating_sub(minimum);
    for share in shares.values_mut() {
        let portion = excess(share) * remaining / requested.max(1);
        share.target = share.target.min(share.minimum + portion);
        share.keep = share.target;
    }
}
