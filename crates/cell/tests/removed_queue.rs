//! Queues that a configuration lacks for some time.

mod world;

use std::time::Duration;

use cactuswheel_work::{JobId, JobState};
use world::{World, job, queue, steps};

const SECOND: Duration = Duration::from_secs(1);

/// A world in which the queue of a job is removed, and the job's runs fail from then on.
fn without_queue() -> World {
    let mut world = World::new(1, 1);
    world.worker(0).failing = true;
    world.worker(0).work_ms = 300;
    world.submit(job(1, steps(1, 1, 700)));
    world.advance(SECOND / 10);
    world.configure(|c| drop(c.queues.remove(&queue().name)));
    world
}

fn restore_queue(world: &mut World) {
    world.configure(|c| drop(c.queues.insert(queue().name, queue())));
}

/// Guards against a job that fails for good because one of its runs failed while a configuration
/// lacked its queue: the attempts that the queue allowed before still count.
#[test]
fn one_failure() {
    let mut world = without_queue();
    world.advance(SECOND / 2);
    world.worker(0).failing = false;
    restore_queue(&mut world);
    world.advance(5 * SECOND);
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Complete));
}

/// Guards against a job that is given up, or gets more attempts than it has, while a configuration
/// lacks its queue. Its attempts are used up: it waits, and fails once the queue is back.
#[test]
fn attempts_used_up() {
    let mut world = without_queue();
    world.advance(20 * SECOND);
    assert!(world.state(JobId::new(1)).is_some_and(|s| !s.is_final()));
    assert_eq!(world.worker(0).started.len(), 3);
    restore_queue(&mut world);
    world.advance(SECOND);
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Failed));
    assert_eq!(world.worker(0).started.len(), 3);
}

/// Guards against a new owner that never saw the queue and so takes its jobs to have no attempts,
/// or any number of them.
#[test]
fn unknown_to_owner() {
    let mut world = without_queue();
    for _ in 0..8 {
        world.advance(2 * SECOND);
        world.take_over();
        world.remove_old_owners();
    }
    assert!(world.state(JobId::new(1)).is_some_and(|s| !s.is_final()));
    assert_eq!(world.worker(0).started.len(), 3);
    // The owner that sees the queue again may be a new one.
    world.remove_old_owners();
    restore_queue(&mut world);
    world.take_over();
    world.remove_old_owners();
    world.advance(SECOND);
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Failed));
}

/// Guards against attempts that are counted by a value that no longer holds: the queue comes back
/// with more of them, and the job goes on.
#[test]
fn more_attempts() {
    let mut world = without_queue();
    world.advance(20 * SECOND);
    world.worker(0).failing = false;
    world.configure(|c| {
        let queue = cactuswheel_work::Queue {
            attempts: 5,
            ..queue()
        };
        c.queues.insert(queue.name.clone(), queue);
    });
    world.advance(5 * SECOND);
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Complete));
    assert_eq!(world.worker(0).started.len(), 4);
}
