//! Generated histories: whatever happens to owners, orders and workers, stop orders never disrupt
//! more tasks of a long-running step than its disruption budget allows.

mod world;

use std::time::Duration;

use cactuswheel_testkit::{Seed, check};
use world::{World, lasting};

const WORKERS: usize = 10;

/// Seeds that revealed a fault in the past.
const REGRESSION_SEEDS: &[u64] = &[97_788];

/// Number of tasks of the step that may be disrupted at the same time.
const BUDGET: u32 = 2;

/// Runs a history and checks the disruption budget at every step.
fn check_budget(seed: u64) -> bool {
    let mut world = World::new(seed, WORKERS);
    for number in 0..WORKERS {
        world.worker(number).lasting_jobs = vec![1];
        world.worker(number).stop_time = Duration::from_millis(50 + world.rng.below(350));
    }
    let mut sub = lasting(1, 6, 1);
    let mut steps = sub.steps.to_vec();
    steps[0].budget = Some(BUDGET);
    sub.steps = steps.into();
    world.submit(sub);
    world.advance(Duration::from_secs(3));
    world.budget = Some(BUDGET as usize);
    for _ in 0..60 {
        let pause = world.rng.below(300);
        world.advance(Duration::from_millis(pause));
        inject_fault(&mut world);
    }
    assert!(
        world.violations.is_empty(),
        "seed {seed}: {:#?}",
        world.violations
    );
    true
}

/// Injects one event: a worker is evacuated or reopened, the owner changes, answers are lost, or a
/// worker becomes unreachable.
fn inject_fault(world: &mut World) {
    let number = world.rng.below(WORKERS as u64) as usize;
    let id = world.worker(number).id.clone();
    match world.rng.below(10) {
        0..=3 => {
            for owner in &mut world.owners {
                owner.cell.close(&id, true);
            }
        }
        4..=5 => world.cell().reopen(&id),
        6 => world.take_over(),
        7 => world.loss_percent = 20 - world.loss_percent,
        8 => world.worker(number).connected = false,
        _ => {
            for number in 0..WORKERS {
                world.worker(number).connected = true;
            }
        }
    }
}

#[test]
fn kept_budgets() {
    for seed in REGRESSION_SEEDS {
        check_budget(*seed);
    }
}

/// Guards against a disruption budget that is exceeded by two successive owners together, or by an
/// owner's stop orders together with an unresponsive worker.
#[test]
fn drawn_budgets() {
    fn property(seed: Seed) -> bool {
        check_budget(seed.0)
    }
    check(20_264, 100, property as fn(Seed) -> bool);
}
