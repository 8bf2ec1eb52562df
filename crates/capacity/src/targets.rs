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
        let open = open_workers(snapshot);
        let units = units(snapshot);
        let any = snapshot.instances.first().map(|i| i.room);
        let loads = snapshot.loads.iter();
        let loads = loads.filter(|(s, _)| !snapshot.spare.contains(s));
        let mut shares: Map<ServiceName, Share> = loads
            .map(|(service, load)| {
                let unit = units.get(service).copied().or(any).unwrap_or_default();
                let trend = self.trends.entry(service.clone()).or_default();
                let serving = open.get(service).copied().unwrap_or_default();
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

/// Workers of each service that take work.
fn open_workers<'a>(snapshot: &'a Snapshot<'_>) -> Map<&'a ServiceName, usize> {
    let mut found: Map<&ServiceName, usize> = Map::default();
    for worker in snapshot.workers.values().filter(|w| w.open && !w.closing) {
        *found.entry(&worker.service).or_default() += 1;
    }
    found
}

/// Size of each pool's instances.
fn units<'a>(snapshot: &'a Snapshot<'_>) -> Map<&'a ServiceName, Room> {
    let mut found: Map<&ServiceName, Room> = Map::default();
    for instance in snapshot.instances {
        found.entry(&instance.pool).or_insert(instance.room);
    }
    found
}
