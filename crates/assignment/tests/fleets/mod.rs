//! Fleets generated from a seed, shared by the tests and the example.

use cactuswheel_assignment::{Machine, PoolSpec, Problem, Weights};
use cactuswheel_testkit::Rng;

/// Size of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of workers.
    pub workers: usize,
    /// Number of pools with demand.
    pub pools: usize,
    /// Number of data centres.
    pub dcs: usize,
    /// Total demand relative to all slots, in percent.
    pub load: u64,
}

/// Workers per rack.
pub const RACK: usize = 4;

/// Platno's and the Shaker Lab's size: 50 workers, five services and a spare pool.
pub const TODAY: Size = Size {
    workers: 50,
    pools: 5,
    dcs: 3,
    load: 70,
};

/// A fleet whose workers are all in the spare pool, which is the last pool.
pub fn fleet(size: Size, seed: u64, weights: Weights) -> Problem {
    let mut rng = Rng::new(seed);
    let slots = size.workers as u64 * 8;
    let mean = slots * size.load / 100 / size.pools as u64;
    let mut specs: Vec<PoolSpec> = (0..size.pools)
        .map(|n| {
            let demand = mean / 2 + rng.below(mean.max(1));
            PoolSpec {
                id: format!("p{n}").parse().ok(),
                demand,
                max_down: Some((demand / 8 / 10).max(1) as usize),
                ..PoolSpec::default()
            }
        })
        .collect();
    specs.push(PoolSpec {
        id: "spare".parse().ok(),
        spare: true,
        ..PoolSpec::default()
    });
    let racks = size.workers.div_ceil(RACK);
    let machine = |n: usize| Machine {
        id: format!("w{n:05}").parse().expect("a name"),
        rack: n / RACK,
        dc: n / RACK * size.dcs / racks,
        slots: 8,
        cores: 64,
        memory: 131_072,
        accels: 0,
        pool: size.pools,
        lost: false,
        pinned: false,
        drain_secs: 0,
    };
    Problem {
        machines: (0..size.workers).map(machine).collect(),
        specs,
        racks,
        dcs: size.dcs,
        weights,
        max_moves: usize::MAX,
    }
}

/// Applies the moves of a plan to the problem.
pub fn apply(problem: &mut Problem, moves: &[cactuswheel_assignment::Move]) {
    for step in moves {
        let place = |id: &cactuswheel_model::PoolId| {
            let mut specs = problem.specs.iter();
            specs.position(|n| n.id.as_ref() == Some(id))
        };
        let to = place(&step.to).expect("a pool of the problem");
        let found = problem.machines.iter_mut().find(|m| m.id == step.instance);
        found.expect("a machine of the problem").pool = to;
    }
}
