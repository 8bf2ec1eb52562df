//! How many instances each pool wants.

use cactuswheel_cell::Load;
use cactuswheel_model::Map;
use cactuswheel_work::{InstanceState, Room, ServiceName};

use crate::planner::Planner;
use crate::share::{Share, divide};
use crate::snapshot::Snapshot;

impl Planner {
    /// Instances that each pool wants now, and those that it keeps.
    pub(crate) fn targets(&mut self, snapshot: &Snapshot<'_>) -> Map<ServiceName, Share> {
        let loads = snapshot.loads.iter();
        let loads = loads.filter(|(s, _)| !snapshot.spare.contains(s));
        let mut shares: Map<ServiceName, Share> = loads
            .map(|(service, load)| {
                let unit = unit(snapshot, service);
                let trend = self.trends.entry(service.clone()).or_default();
                let serving = serving(snapshot, service);
                let need = trend.need(snapshot.now, load, unit, serving, &self.policy);
                let target = need.target.max(least(load));
                let share = Share {
                    least: least(load).max(trend.for_lasting(load, unit)),
                    target,
                    keep: need.keep.max(target),
                    overdue: trend.for_overdue(load, unit),
                };
                (service.clone(), share)
            })
            .collect();
        let usable = snapshot.instances.iter();
        let usable = usable.filter(|i| i.state != InstanceState::Down).count();
        divide(&mut shares, usable, self.policy.overdue);
        shares
    }
}

/// Least number of instances of a pool that has work at all.
fn least(load: &Load) -> usize {
    usize::from(load.queues > 0).max(load.spread)
}

/// Workers of a service that take work.
fn serving(snapshot: &Snapshot<'_>, service: &ServiceName) -> usize {
    let workers = snapshot.workers.values();
    let serving = workers.filter(|w| w.service == *service && w.open && !w.closing);
    serving.count()
}

/// Size of a pool's instances; of the fleet's, where the pool has none.
fn unit(snapshot: &Snapshot<'_>, service: &ServiceName) -> Room {
    let mut instances = snapshot.instances.iter();
    let own = instances.find(|i| i.pool == *service);
    let any = own.or(snapshot.instances.first());
    any.map(|i| i.room).unwrap_or_default()
}
