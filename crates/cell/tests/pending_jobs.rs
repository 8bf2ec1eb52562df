//! Number of jobs that have not begun, as callers ask for it.

mod world;

use std::time::Duration;

use cactuswheel_work::{JobId, JobState};
use world::{World, job, queue, steps};

const JOBS: u64 = 12;

/// A world whose owner has ordered every job to start.
fn ordered_world(dark: bool) -> World {
    let mut world = World::new(4, 2);
    for number in 0..2 {
        world.worker(number).work_ms = 30_000;
    }
    world.advance(Duration::from_secs(1));
    for number in 0..2 {
        world.worker(number).drops_orders = dark;
    }
    for id in 1..=JOBS {
        world.submit(job(id, steps(1, 1, 30_000)));
    }
    world.advance(Duration::from_millis(300));
    world.take_over();
    world.remove_old_owners();
    world
}

fn pending(world: &mut World) -> u64 {
    world.cell().pending_jobs(&queue().name)
}

/// Guards against jobs that a new owner takes for begun although no start order was carried out.
#[test]
fn ordered_by_earlier_owner() {
    let mut world = ordered_world(true);
    for _ in 0..100 {
        assert_eq!(pending(&mut world), JOBS);
        world.advance(Duration::from_millis(100));
    }
}

/// Guards against jobs that run and are called queued or pending after a takeover.
#[test]
fn running_at_takeover() {
    let mut world = ordered_world(false);
    let running = world.worker(0).run_count() + world.worker(1).run_count();
    assert_eq!(running as u64, JOBS);
    for _ in 0..10 {
        for id in 1..=JOBS {
            assert_eq!(world.state(JobId::new(id)), Some(JobState::Running));
        }
        world.advance(Duration::from_millis(100));
        assert_eq!(pending(&mut world), 0);
    }
}

/// Guards against a job that has begun and is called pending after two takeovers, of which the
/// first saw its run on a worker that is lost.
#[test]
fn begun_and_lost() {
    let mut world = ordered_world(false);
    world.advance(Duration::from_secs(1));
    for number in 0..2 {
        world.worker(number).connected = false;
    }
    world.advance(Duration::from_secs(20));
    world.take_over();
    world.remove_old_owners();
    assert_eq!(pending(&mut world), 0);
}
