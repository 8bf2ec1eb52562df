//! Plans keep the hard constraints after every move.

mod fleets;

use cactuswheel_assignment::{
    PoolSpec, Problem, Weights, first_fit, least_capacity, plan, spread_only,
};
use cactuswheel_testkit::{Rng, check};
use fleets::{TODAY, apply, fleet};

/// A small fleet whose workers are in random pools.
fn random_fleet(seed: u64) -> Problem {
    let mut rng = Rng::new(seed);
    let mut size = TODAY;
    size.workers = 12 + rng.below(40) as usize;
    size.pools = 1 + rng.below(5) as usize;
    size.load = 20 + rng.below(70);
    let weights = [Weights::deadlines(), Weights::long_work()][rng.below(2) as usize].clone();
    let mut problem = fleet(size, seed, weights);
    for machine in &mut problem.machines {
        machine.pool = rng.below(size.pools as u64 + 1) as usize;
        machine.slots = [4, 8, 8, 16][rng.below(4) as usize];
        machine.accels = rng.below(2);
        machine.lost = rng.below(10) == 0;
        machine.pinned = rng.below(10) == 0;
        machine.drain_secs = rng.below(7_200);
    }
    for spec in &mut problem.specs {
        spec.any_dc = rng.below(4) == 0;
        spec.accels = u64::from(rng.below(6) == 0);
    }
    problem.max_moves = rng.below(30) as usize;
    problem
}

/// For every pool, its deficit and whether it has more members than may be down at once.
fn hard_rules(problem: &Problem) -> Vec<(u64, bool)> {
    let capacities = problem.capacities();
    let pools = capacities.iter().zip(&problem.specs);
    pools
        .map(|(capacity, spec)| {
            (
                capacity.deficit(spec),
                spec.max_down.is_none_or(|down| capacity.members > down),
            )
        })
        .collect()
}

fn keeps_rules(seed: u64) -> bool {
    let mut problem = random_fleet(seed);
    let made = plan(&problem);
    assert!(made.moves.len() <= problem.max_moves);
    for (n, step) in made.moves.iter().enumerate() {
        let before = hard_rules(&problem);
        let moving = problem.machines.iter().find(|m| m.id == step.instance);
        let moving = moving.unwrap();
        assert!(moving.is_movable(), "move {n} takes a held instance");
        let from = problem.specs[moving.pool].id.as_ref();
        assert_eq!(from, Some(&step.from), "move {n} starts elsewhere");
        apply(&mut problem, std::slice::from_ref(step));
        for (pool, (was, is)) in before.iter().zip(hard_rules(&problem)).enumerate() {
            let spare = problem.specs[pool].spare;
            assert!(is.0 <= was.0, "move {n}: pool {pool} short of {}", is.0);
            assert!(is.1 || !was.1 || spare, "move {n}: pool {pool} too small");
        }
    }
    for (pool, (deficit, _)) in hard_rules(&problem).into_iter().enumerate() {
        let id = problem.specs[pool].id.as_ref().unwrap();
        let said = made.missing.iter().find(|s| s.pool == *id);
        assert_eq!(deficit, said.map_or(0, |s| s.missing), "pool {id}");
    }
    true
}

#[test]
fn any_prefix() {
    check(4103, 2_000, keeps_rules as fn(u64) -> bool);
}

#[test]
fn near_bound() {
    let problem = fleet(TODAY, 1, Weights::default());
    let made = plan(&problem);
    assert_eq!(made.missing, []);
    let demand: u64 = problem.specs.iter().map(|n| n.demand).sum();
    let racks = problem.racks as u64;
    let least = problem.specs.iter();
    let least: u64 = least
        .map(|n| least_capacity(n.demand, 8, racks).unwrap())
        .sum();
    assert!(made.cost.buffer * 10 <= (least - demand) * 11);
}

#[test]
fn one_event() {
    let mut problem = fleet(TODAY, 2, Weights::long_work());
    let first = plan(&problem);
    apply(&mut problem, &first.moves);
    assert_eq!(plan(&problem).moves, []);
    let lost = problem.machines.iter().position(|m| m.pool == 0).unwrap();
    problem.machines[lost].lost = true;
    let made = plan(&problem);
    assert_eq!(made.missing, []);
    assert!(made.moves.len() <= 1, "{:?}", made.moves);
}

#[test]
fn missing_numbers() {
    let mut problem = fleet(TODAY, 3, Weights::default());
    problem.specs[0].demand = 1_000;
    let made = plan(&problem);
    let short = &made.missing[0];
    assert_eq!((short.demand, short.more), (1_000, false));
    assert_eq!(short.missing, 1_000 - short.safe);
}

#[test]
fn single_rack() {
    // All machines are in one rack. No capacity survives its loss, so moves would be useless and
    // none is planned.
    let mut problem = fleet(TODAY, 4, Weights::default());
    problem.machines.iter_mut().for_each(|m| m.rack = 0);
    let made = plan(&problem);
    assert_eq!(made.moves, []);
    assert!(made.missing.len() == TODAY.pools);
}

#[test]
fn baselines() {
    let problem = fleet(TODAY, 5, Weights::default());
    let made = plan(&problem);
    let (_, first, _) = first_fit(&problem);
    let (_, _, missing) = spread_only(&problem);
    assert!(made.cost.buffer < first.buffer);
    assert!(missing > 0);
}

#[test]
fn useless_kind() {
    let mut problem = fleet(TODAY, 6, Weights::default());
    problem.specs[0] = PoolSpec {
        accels: 1,
        ..problem.specs[0].clone()
    };
    let made = plan(&problem);
    let id = problem.specs[0].id.as_ref().unwrap();
    assert!(made.moves.iter().all(|m| m.to != *id));
    assert!(made.missing.iter().any(|s| s.pool == *id && s.safe == 0));
}
