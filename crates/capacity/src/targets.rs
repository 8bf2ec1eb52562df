//! Number of instances that each pool wants.

use std::borrow::Cow;
use std::time::Duration;

use cactuswheel_cell::{Load, WorkerView};
use cactuswheel_model::Map;
use cactuswheel_work::{InstanceState, Room, ServiceName};

use crate::planner::Planner;
use crate::share::{Share, divide};
use crate::snapshot::Snapshot;
use crate::trend::Rules;

/// Time during which a new planner releases no instance of a pool with running work, as it does not
/// know the arrivals yet.
const WARM_UP: Duration = Duration::from_millis(2_000);

impl Planner {
    /// Whether this planner took over pools with running work too recently to know what they need.
    fn is_warming_up(&mut self, snapshot: &Snapshot<'_>) -> bool {
        let working = || snapshot.loads.values().any(|l| l.used.cpu > 0);
        let (first, took_over) = *self
            .first_plan
            .get_or_insert_with(|| (snapshot.now, working()));
        took_over && snapshot.now.since(first) < WARM_UP
    }

    /// Returns the instances that each pool wants now, and those that it retains.
    pub(crate) fn targets(&mut self, snapshot: &Snapshot<'_>) -> Map<ServiceName, Share> {
        let serving_counts = count_serving(snapshot);
        let sizes = instance_sizes(snapshot);
        let fallback = snapshot.instances.first().map(|i| i.room);
        let warming_up = self.is_warming_up(snapshot);
        let rules = Rules {
            policy: &self.policy,
            outage: self.hold.since(),
            target: self.hold.target(),
        };
        let loads = snapshot.loads.iter();
        let loads = loads.filter(|(s, _)| !snapshot.spare.contains(s));
        let mut shares: Map<ServiceName, Share> = loads
            .map(|(service, load)| {
                let load = &*without_evacuated(service, load, snapshot);
                let unit = sizes.get(service).copied().or(fallback).unwrap_or_default();
                let trend = self.trends.entry(service.clone()).or_default();
                let serving = serving_counts.get(service).copied().unwrap_or_default();
                let need = trend.update(snapshot.now, load, unit, serving, rules);
                let target = need.target.max(min_instances(load));
                let share = Share {
                    minimum: min_instances(load).max(trend.lasting_instances(load, unit)),
                    target,
                    keep: need
                        .keep
                        .max(target)
                        .max(if warming_up { serving } else { 0 }),
                    overdue: trend.overdue_instances(load, unit),
                };
                (service.clone(), share)
            })
            .collect();
        let usable = snapshot.instances.iter();
        let usable = usable.filter(|i| i.state != InstanceState::Down);
        let usable = usable.filter(|i| !snapshot.evacuated.contains(&i.zone));
        let usable = usable.count();
        divide(&mut shares, usable, self.policy.overdue_share);
        shares
    }
}

/// Returns a load without the long-running work that continues in evacuated data centres, as it
/// needs no capacity elsewhere.
fn without_evacuated<'a>(
    service: &ServiceName,
    load: &'a Load,
    snapshot: &Snapshot<'_>,
) -> Cow<'a, Load> {
    if snapshot.evacuated.is_empty() {
        return Cow::Borrowed(load);
    }
    let mut rest = load.clone();
    let holds = |w: &&WorkerView| w.service == *service && w.evacuated && w.lasting > 0;
    for worker in snapshot.workers.values().filter(holds) {
        rest.lasting -= worker.used;
        rest.spread = rest.spread.saturating_sub(1);
    }
    Cow::Owned(rest)
}

/// Minimum number of instances of a pool, which is at least one if the pool serves any queue.
fn min_instances(load: &Load) -> usize {
    usize::from(load.queues > 0).max(load.spread)
}

/// Number of workers of each service that accept new work.
fn count_serving<'a>(snapshot: &'a Snapshot<'_>) -> Map<&'a ServiceName, usize> {
    let mut counts: Map<&ServiceName, usize> = Map::default();
    for worker in snapshot.workers.values().filter(|w| w.open && !w.closing) {
        *counts.entry(&worker.service).or_default() += 1;
    }
    counts
}

/// Size of the instances in each pool.
fn instance_sizes<'a>(snapshot: &'a Snapshot<'_>) -> Map<&'a ServiceName, Room> {
    let mut sizes: Map<&ServiceName, Room> = Map::default();
    for instance in snapshot.instances {
        sizes.entry(&instance.pool).or_insert(instance.room);
    }
    sizes
}
