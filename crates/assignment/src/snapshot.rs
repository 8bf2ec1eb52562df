//! Conversion of the fleet's state into a planning problem.

use cactuswheel_fleet::{Stage, State};
use cactuswheel_model::{DcId, Map, PoolId, Purpose, RackId};

use crate::{Machine, PoolSpec, Problem, Weights};

/// Assumed time that a move waits for each job placed on the instance, in seconds. Actual run
/// times are not known.
const JOB_DRAIN_SECS: u64 = 3_600;

/// Builds the planning problem from the state. Lost instances add no capacity.
pub fn problem_from_state(state: &State, weights: Weights, max_moves: usize) -> Problem {
    let config = state.config();
    let mut pools: Map<&PoolId, usize> = Map::default();
    let mut specs = Vec::new();
    for pool in config.pools.values() {
        pools.insert(&pool.id, specs.len());
        specs.push(PoolSpec {
            id: Some(pool.id.clone()),
            spare: pool.spare,
            ..PoolSpec::default()
        });
    }
    for service in config.services.values() {
        let Some(spec) = pools.get(&service.pool).map(|n| &mut specs[*n]) else {
            continue;
        };
        spec.demand += u64::from(service.demand.get());
        let down = service.max_down as usize;
        spec.max_down = Some(spec.max_down.map_or(down, |least| least.min(down)));
        // A pool that a service uses does not count as a spare pool, whose members can be taken
        // freely.
        spec.spare = false;
    }
    let mut racks: Map<(&DcId, &RackId), usize> = Map::default();
    let mut dcs: Map<&DcId, usize> = Map::default();
    let mut machines = Vec::new();
    for instance in config.instances.values() {
        let next = racks.len();
        let rack = *racks.entry((&instance.dc, &instance.rack)).or_insert(next);
        let next = dcs.len();
        let dc = *dcs.entry(&instance.dc).or_insert(next);
        let placed = state.jobs().worker(&instance.id).map_or(0, |w| w.placed);
        let stage = state.disruptions().outage(&instance.id).map(|h| &h.stage);
        // An instance that is draining for a move counts for its target pool. Otherwise, the
        // planner would move another instance in its place.
        let pool = match stage {
            Some(Stage::Draining(Purpose::Move { to, .. })) => to,
            _ => &instance.pool,
        };
        machines.push(Machine {
            id: instance.id.clone(),
            rack,
            dc,
            slots: u64::from(instance.slots.get()),
            cores: u64::from(instance.cores.get()),
            memory: instance.memory.get(),
            accels: u64::from(instance.accels),
            pool: pools.get(pool).copied().unwrap_or(0),
            lost: stage == Some(&Stage::Lost),
            pinned: stage.is_some(),
            drain_secs: u64::from(placed) * JOB_DRAIN_SECS,
        });
    }
    Problem {
        racks: racks.len(),
        dcs: dcs.len(),
        machines,
        specs,
        weights,
        max_moves,
    }
}
