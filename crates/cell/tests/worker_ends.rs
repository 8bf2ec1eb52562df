//! Workers whose incarnation ends while they have runs.

mod world;

use std::time::Duration;

use cactuswheel_cell::Tallies;
use world::{World, job, steps};

/// Guards against crashes that operators cannot distinguish from unreachable workers.
#[test]
fn crash_counted() {
    let mut world = World::new(1, 1);
    world.submit(job(1, steps(1, 3, 700)));
    world.advance(Duration::from_millis(300));
    assert_eq!(world.worker(0).run_count(), 3);
    world.cell().take_tallies();
    let now = world.now;
    world.worker(0).restart(now);
    world.advance(Duration::from_secs(1));
    let expected = Tallies {
        workers_ended: 1,
        runs_lost: 3,
        jobs_given_up: 0,
        runs_vacated: 0,
        runs_preempted: 0,
        preempted_work: 0,
    };
    assert_eq!(world.cell().take_tallies(), expected);
    assert_eq!(world.cell().take_tallies(), Tallies::default());
}

/// Guards against counting an unreachable worker as crashed.
#[test]
fn cut_not_counted() {
    let mut world = World::new(2, 1);
    world.submit(job(1, steps(1, 3, 700)));
    world.advance(Duration::from_millis(300));
    world.worker(0).connected = false;
    world.advance(Duration::from_secs(8));
    world.worker(0).connected = true;
    world.advance(Duration::from_secs(1));
    assert_eq!(world.cell().take_tallies(), Tallies::default());
}

/// Guards against counting a worker as crashed whose instance was ordered to move away, also where
/// the worker was registered again after the order.
#[test]
fn move_not_counted() {
    let mut world = World::new(1, 1);
    world.submit(job(1, steps(1, 3, 700)));
    world.advance(Duration::from_millis(300));
    assert_eq!(world.worker(0).run_count(), 3);
    world.cell().take_tallies();
    let (now, entry) = (world.now, world.worker(0).entry());
    world.cell().begin_removal(&entry.id);
    world.cell().unregister_worker(now, &entry.id);
    world.cell().register_worker(now, entry);
    world.worker(0).restart(now);
    world.advance(Duration::from_secs(1));
    assert_eq!(world.cell().take_tallies(), Tallies::default());
}
