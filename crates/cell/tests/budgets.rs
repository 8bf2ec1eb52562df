//! Generated histories: whatever happens to owners, orders and workers, orders never keep more tasks of a
//! lasting step away than its budget allows.

mod world;

use std::time::Duration;

use cactuswheel_testkit::{Seed, check};
use world::{World, lasting};

const WORKERS: usize = 10;

/// Seeds that once showed a fault.
const KEPT: &[u64] = &[97_788];

/// Tasks of the step that may be away.
const BUDGET: u32 = 2;

fn holds(seed: u64) -> bool {
    let mut world = World::new(seed, WORKERS);
    for number in 0..WORKERS {
        world.worker(number).lasting = vec![1];
        world.worker(number).stopping = Duration::from_millis(50 + world.rng.below(350));
    }
    let mut sub = lasting(1, 6, 1);
    let mut steps = sub.steps.to_vec();
    steps[0].budget = Some(BUDGET);
    sub.steps = steps.into();
    world.submit(sub);
    world.run(Duration::from_secs(3));
    world.budget = Some(BUDGET as usize);
    for _ in 0..60 {
        let pause = world.rng.below(300);
        world.run(Duration::from_millis(pause));
        disturb(&mut world);
    }
    assert!(world.broken.is_empty(), "seed {seed}: {:#?}", world.broken);
    true
}

/// Planners want workers empty, owners follow one another, answers are lost, workers are cut off.
fn disturb(world: &mut World) {
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
        7 => world.loss = 20 - world.loss,
        8 => world.worker(number).linked = false,
        _ => {
            for number in 0..WORKERS {
                world.worker(number).linked = true;
            }
        }
    }
}

#[test]
fn kept_budgets() {
    for seed in KEPT {
        holds(*seed);
    }
}

/// Guards against a budget that two owners, or an owner and a silent worker, break between them.
#[test]
fn drawn_budgets() {
    fn property(seed: Seed) -> bool {
        holds(seed.0)
    }
    check(20_264, 100, property as fn(Seed) -> bool);
}
