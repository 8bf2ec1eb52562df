//! Prints the cost of plans compared with lower bounds and baselines, for current fleet sizes and
//! for the design target.
//!
//! `cargo run --release -p cactuswheel-assignment --example planning`

#[path = "../tests/fleets/mod.rs"]
mod fleets;

use std::time::{Duration, Instant};

use cactuswheel_assignment::{
    Cost, Plan, Problem, Weights, first_fit, least_capacity, plan, spread_only,
};
use cactuswheel_testkit::Rng;
use fleets::{RACK, Size, TODAY, apply, fleet};

/// Seeds of the generated fleets.
const SEEDS: [u64; 3] = [11, 12, 13];

/// The fleet size that the planner is designed for.
const PLANNED: Size = Size {
    workers: 8_700,
    pools: 62,
    dcs: 25,
    load: 85,
};

/// Maximum number of moves in the planning round after an event.
const ROUND: usize = 16;

fn main() {
    let sizes = [
        ("Platno", TODAY, Weights::deadlines()),
        ("Shaker Lab", TODAY, Weights::long_work()),
        ("two-year size", PLANNED, Weights::default()),
    ];
    for (name, size, weights) in sizes {
        for seed in SEEDS {
            println!("{name}, seed {seed}: {size:?}");
            from_spare(size, seed, weights.clone());
            events(size, seed, weights.clone());
            random_pools(size, seed, weights.clone());
        }
    }
}

fn timed(problem: &Problem) -> (Plan, Duration) {
    let start = Instant::now();
    let made = plan(problem);
    (made, start.elapsed())
}

/// Plans a fleet whose machines are all spare, and compares the plan with the baselines.
fn from_spare(size: Size, seed: u64, weights: Weights) {
    let problem = fleet(size, seed, weights);
    let least = least_buffer(&problem);
    println!("  least buffer {least} slots");
    let (made, took) = timed(&problem);
    let missing = made.missing.iter().map(|s| s.missing).sum();
    row("planner", &made.cost, missing, least);
    let (_, cost, missing) = first_fit(&problem);
    row("first fit", &cost, missing, least);
    let (_, cost, missing) = spread_only(&problem);
    row("spread, no buffer", &cost, missing, least);
    let steps = problem.specs.iter().filter(|n| n.demand > 0).map(|n| {
        let least = least_capacity(n.demand, 8, problem.racks as u64).unwrap_or(0) / 8;
        (least as usize).div_ceil(n.max_down.unwrap_or(1))
    });
    let steps = steps.max().unwrap_or(0);
    println!(
        "  roll-out {} steps, bound {steps}, one at a time {}; whole plan in {took:?}",
        made.cost.rollout, size.workers
    );
}

fn row(name: &str, cost: &Cost, missing: u64, least: u64) {
    println!(
        "  {name:18} buffer {:6} slots ({:.3} of least), {missing} missing after a rack's loss, \
         {} moves, crowding {}",
        cost.buffer,
        cost.buffer as f64 / least as f64,
        cost.moves,
        cost.crowding
    );
}

/// Lower bound of the capacity above demand that is needed to tolerate the loss of any one rack.
fn least_buffer(problem: &Problem) -> u64 {
    let racks = problem.racks as u64;
    let specs = problem.specs.iter();
    specs
        .map(|n| least_capacity(n.demand, 8, racks).unwrap_or(0) - n.demand)
        .sum()
}

/// Plans a fleet whose workers start in random pools, like newly supplied machines.
fn random_pools(size: Size, seed: u64, weights: Weights) {
    let mut problem = fleet(size, seed, weights);
    let mut rng = Rng::new(seed);
    let pools = problem.specs.len() as u64;
    for machine in &mut problem.machines {
        machine.pool = rng.below(pools) as usize;
    }
    let least = least_buffer(&problem);
    let cheap = Weights {
        moves: 0.1,
        ..problem.weights.clone()
    };
    for (name, weights) in [
        ("random pools", problem.weights.clone()),
        ("  move weight 0.1", cheap),
    ] {
        problem.weights = weights;
        let (made, took) = timed(&problem);
        let missing = made.missing.iter().map(|s| s.missing).sum();
        row(name, &made.cost, missing, least);
        println!("  {name}: planned in {took:?}");
    }
}

/// Plans again after each of several single events.
fn events(size: Size, seed: u64, weights: Weights) {
    let mut settled = fleet(size, seed, weights);
    let made = plan(&settled);
    apply(&mut settled, &made.moves);
    settled.max_moves = ROUND;
    let (idle, took) = timed(&settled);
    event("nothing", &idle, took);

    let mut lost = settled.clone();
    if let Some(machine) = lost.machines.iter_mut().find(|m| m.pool == 0) {
        machine.lost = true;
    }
    let (made, took) = timed(&lost);
    event("instance lost", &made, took);

    let mut rack = settled.clone();
    for machine in &mut rack.machines[..RACK] {
        machine.lost = true;
    }
    let (made, took) = timed(&rack);
    event("rack lost", &made, took);

    let mut more = settled.clone();
    more.specs[1].demand += more.specs[1].demand / 10;
    let (made, took) = timed(&more);
    event("demand + 10 %", &made, took);

    let mut less = settled;
    less.specs[1].demand -= less.specs[1].demand / 10;
    let (made, took) = timed(&less);
    event("demand - 10 %", &made, took);
}

fn event(name: &str, made: &Plan, took: Duration) {
    let missing: u64 = made.missing.iter().map(|s| s.missing).sum();
    println!(
        "  after {name:14} {} moves, {missing} slots missing, in {took:?}",
        made.moves.len()
    );
}
