//! Workers whose room changes or that have unexpected runs. The fake workers do not check their
//! room themselves.

mod world;

use std::time::Duration;

use cactuswheel_work::{JobId, JobState, Room, StepId, TaskId};
use world::{World, job, steps};

const SECOND: Duration = Duration::from_secs(1);

fn room(cores: u64) -> Room {
    Room {
        cpu: cores * 1_000,
        memory: 64_000,
        gpu: 0,
    }
}

/// Registers the worker again with a new amount of room.
fn set_room(world: &mut World, cores: u64) {
    world.worker(0).room = room(cores);
    let entry = world.worker(0).entry();
    let now = world.now;
    world.cell().register_worker(now, entry);
}

/// Guards against starts that exceed the room because it shrank while they waited for the journal.
#[test]
fn shrinks_meanwhile() {
    let mut world = World::new(1, 1);
    world.advance(SECOND);
    world.store_slow = true;
    world.submit(job(1, steps(1, 8, 700)));
    world.advance(SECOND);
    set_room(&mut world, 16);
    world.store_slow = false;
    world.advance(3 * SECOND);
    world.assert_no_violations();
    assert_eq!(world.worker(0).max_runs, 4);
    world.advance(3 * SECOND);
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Complete));
}

/// Guards against starts on a worker whose current runs already exceed its reduced room.
#[test]
fn shrinks_under_work() {
    let mut world = World::new(2, 1);
    world.worker(0).work_ms = 3_000;
    world.submit(job(1, steps(1, 6, 3_000)));
    world.advance(SECOND);
    assert_eq!(world.worker(0).run_count(), 6);
    set_room(&mut world, 16);
    world.submit(job(2, steps(1, 4, 700)));
    world.advance(SECOND);
    assert_eq!(world.worker(0).run_count(), 6);
    set_room(&mut world, 32);
    world.advance(SECOND / 2);
    assert_eq!(world.worker(0).run_count(), 8, "the restored room is used");
    world.advance(8 * SECOND);
    assert_eq!(world.state(JobId::new(2)), Some(JobState::Complete));
}

/// Guards against starts beside a run that is unknown to the owner while that run is being stopped.
#[test]
fn strays_count() {
    let mut world = World::new(3, 1);
    world.advance(SECOND);
    let stray = TaskId {
        step: StepId {
            job: JobId::new(99),
            turn: 0,
            step: 0,
        },
        index: 0,
    };
    world.worker(0).stop_time = SECOND;
    world.worker(0).work_ms = 5_000;
    world.worker(0).add_stray(stray);
    world.advance(SECOND / 2);
    world.submit(job(1, steps(1, 8, 5_000)));
    world.advance(3 * SECOND);
    world.assert_no_violations();
    assert_eq!(
        world.worker(0).run_count(),
        8,
        "the room is used once the unexpected run has ended"
    );
}
