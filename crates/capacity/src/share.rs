//! Division of a fleet that is too small for the total demand.

use cactuswheel_model::Map;
use cactuswheel_work::ServiceName;

/// Instances that a pool wants, and those that it is granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Share {
    /// Instances needed to place all long-running work.
    pub(crate) minimum: usize,
    /// Instances wanted now.
    pub(crate) target: usize,
    /// Instances that the pool retains.
    pub(crate) keep: usize,
    /// Instances that overdue work would occupy, the result of which is no longer useful to its
    /// callers.
    pub(crate) overdue: usize,
}

/// Reduces the targets to a fleet of `usable` instances.
///
/// Each pool keeps what its long-running work needs, and the rest is divided in proportion to what
/// each pool requests beyond that. Without this division, the pool that asked first keeps every
/// instance until its backlog is done, while the next pool starves for the seconds in which its own
/// jobs could have met their objectives.
///
/// Instances that remain serve overdue work, up to a share of `overdue_share` of the fleet for each
/// pool. Without that limit, an outage leaves thousands of overdue tasks, their pool takes every
/// spare instance, and the next queue whose load rises finds none. The limit does not stop overdue
/// work, as it also runs on whatever capacity of the pool is free.
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
