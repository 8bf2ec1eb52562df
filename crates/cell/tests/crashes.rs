//! Tasks that take down each worker on which they start.

mod world;

use std::time::Duration;

use cactuswheel_work::{JobId, JobState, StepId, TaskId};
use world::{World, job, steps};

const SECOND: Duration = Duration::from_secs(1);

/// Starts after which a task that crashes its workers has cost more than is allowed.
const MOST_STARTS: usize = 5;

/// The first task of a job.
fn first(job: u64) -> TaskId {
    TaskId {
        step: StepId {
            job: JobId::new(job),
            turn: 0,
            step: 0,
        },
        index: 0,
    }
}

/// A world in which the first tasks of these jobs crash their workers.
fn lethal(seed: u64, workers: usize, jobs: &[u64]) -> World {
    let mut world = World::new(seed, workers);
    for number in 0..workers {
        world.worker(number).lethal = jobs.iter().map(|j| first(*j)).collect();
    }
    world
}

/// How often a task was started.
fn starts(world: &World, task: TaskId) -> usize {
    let begun = world.workers.values().flat_map(|w| &w.begun);
    begun.filter(|(t, ..)| *t == task).count()
}

/// Guards against a task that is started without end and takes a worker with it each time.
#[test]
fn endless_crashes() {
    let mut world = lethal(1, 4, &[1]);
    world.submit(job(1, steps(1, 1, 700)));
    world.run(60 * SECOND);
    let count = starts(&world, first(1));
    assert!(count <= MOST_STARTS, "{count} starts");
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Failed));
    world.assert_clean();
}

/// Guards against the same when the owner changes between crashes.
#[test]
fn crashes_over_takeovers() {
    let mut world = lethal(2, 4, &[1]);
    world.submit(job(1, steps(1, 1, 700)));
    for _ in 0..20 {
        world.run(12 * SECOND);
        world.take_over();
        world.bury_others();
    }
    let count = starts(&world, first(1));
    assert!(count <= MOST_STARTS, "{count} starts");
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Failed));
    world.assert_clean();
}
