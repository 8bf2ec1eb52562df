//! Pools with their sizes, and the availability budgets on them.

use cactuswheel_fleet::State;
use cactuswheel_model::{Map, PoolId, ServiceId};
use cactuswheel_platform::{Presence, RosterSnapshot};
use serde::Serialize;

use super::instances::by_id;

/// One pool.
#[derive(Serialize)]
pub(super) struct PoolView<'a> {
    id: &'a PoolId,
    spare: bool,
    #[serde(flatten)]
    size: Size,
    /// Requests at once that its services expect at peak.
    demand: u32,
    services: Vec<&'a ServiceId>,
}

/// One service's availability budget.
#[derive(Serialize)]
pub(super) struct BudgetView<'a> {
    service: &'a ServiceId,
    pool: &'a PoolId,
    /// Instances that have arrived in the pool.
    instances: u32,
    /// Instances that the log holds for unavailable: granted or lost.
    down: u32,
    /// Instances that the platform does not list as live just now.
    absent: u32,
    max_down: u32,
    /// How many more may go down; negative if the budget is broken.
    room: i64,
}

/// How large a pool is.
#[derive(Clone, Copy, Default, Serialize)]
struct Size {
    instances: u32,
    /// Instances that the platform lists as live.
    live: u32,
    /// Requests at once on all its instances.
    slots: u32,
}

/// Shows every pool.
pub(super) fn pools<'a>(
    state: &'a State,
    sightings: &RosterSnapshot,
) -> impl Iterator<Item = PoolView<'a>> {
    let sizes = sizes(state, sightings);
    state.config().pools.values().map(move |pool| {
        let services = state.config().services.values();
        let services: Vec<_> = services.filter(|s| s.pool == pool.id).collect();
        PoolView {
            id: &pool.id,
            spare: pool.spare,
            size: sizes.get(&pool.id).copied().unwrap_or_default(),
            demand: services.iter().map(|s| s.demand.get()).sum(),
            services: services.iter().map(|s| &s.id).collect(),
        }
    })
}

/// Shows every service's budget.
pub(super) fn budgets<'a>(
    state: &'a State,
    sightings: &RosterSnapshot,
) -> impl Iterator<Item = BudgetView<'a>> {
    let sizes = sizes(state, sightings);
    let budgets = state.disruptions().budgets(state.config());
    state.config().services.values().map(move |service| {
        let size = sizes.get(&service.pool).copied().unwrap_or_default();
        let budget = budgets.get(&service.pool);
        let down = budget.map_or(0, |b| b.down);
        BudgetView {
            service: &service.id,
            pool: &service.pool,
            instances: budget.map_or(0, |b| b.members),
            down,
            absent: size.instances - size.live,
            max_down: service.max_down,
            room: i64::from(service.max_down) - i64::from(down),
        }
    })
}

fn sizes<'a>(state: &'a State, sightings: &RosterSnapshot) -> Map<&'a PoolId, Size> {
    let seen = by_id(sightings);
    let mut sizes: Map<&PoolId, Size> = Map::default();
    for instance in state.config().instances.values() {
        let live = seen
            .get(&instance.id)
            .is_some_and(|s| s.presence == Presence::Live);
        let size = sizes.entry(&instance.pool).or_default();
        size.instances += 1;
        size.live += u32::from(live);
        size.slots += instance.slots.get();
    }
    sizes
}
