//! The problem that the fleet's state poses.

use cactuswheel_fleet::State;
use cactuswheel_model::{DcId, Map, PoolId, RackId};

use crate::{Machine, Need, Problem, Weights};

/// Reads the problem off the fold; what an outage holds counts for nothing.
pub fn problem_of(state: &State, weights: Weights, max_moves: usize) -> Problem {
    let config = state.config();
    let mut pools: Map<&PoolId, usize> = Map::default();
    let mut needs = Vec::new();
    for pool in config.pools.values() {
        pools.insert(&pool.id, needs.len());
        needs.push(Need {
            id: Some(pool.id.clone()),
            max_down: usize::MAX,
            spare: pool.spare,
            ..Need::default()
        });
    }
    for service in config.services.values() {
        let Some(need) = pools.get(&service.pool).map(|n| &mut needs[*n]) else {
            continue;
        };
        need.demand += u64::from(service.demand.get());
        need.max_down = need.max_down.min(service.max_down as usize);
        // A pool that serves something is no store to take from freely.
        need.spare = false;
    }
    for need in &mut needs {
        if need.max_down == usize::MAX {
            need.max_down = 0;
        }
    }
    let mut racks: Map<(&DcId, &RackId), usize> = Map::default();
    let mut dcs: Map<&DcId, usize> = Map::default();
    let mut machines = Vec::new();
    for instance in config.instances.values() {
        let next = racks.len();
        let rack = *racks.entry((&instance.dc, &instance.rack)).or_insert(next);
        let next = dcs.len();
        let dc = *dcs.entry(&instance.dc).or_insert(next);
        machines.push(Machine {
            id: instance.id.clone(),
            rack,
            dc,
            slots: u64::from(instance.slots.get()),
            cores: u64::from(instance.cores.get()),
            memory: instance.memory.get(),
            accels: u64::from(instance.accels),
            pool: pools.get(&instance.pool).copied().unwrap_or(0),
            held: state.disruptions().hold(&instance.id).is_some(),
            drain: 0,
        });
    }
    Problem {
        racks: racks.len(),
        dcs: dcs.len(),
        machines,
        needs,
        weights,
        max_moves,
    }
}
