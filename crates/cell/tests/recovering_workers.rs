//! Workers that were paused for failed runs and are well again.

mod world;

use std::time::Duration;

use cactuswheel_work::{JobId, JobState};
use world::{World, job, lasting, steps};

/// Longest time of a trial and until a poll shows that it is passed.
const TRIAL_TIME: Duration = Duration::from_secs(2);

/// A world whose only worker has failed the runs of two jobs, and is well again.
fn recovering_world() -> World {
    let mut world = World::new(11, 1);
    world.worker(0).lasting_jobs = vec![10, 11, 12];
    world.advance(Duration::from_secs(1));
    world.worker(0).failing = true;
    for id in [1, 2] {
        world.submit(job(id, steps(1, 1, 500)));
    }
    world.advance(Duration::from_millis(1_000));
    for id in [1, 2] {
        world.cancel(JobId::new(id));
    }
    world.worker(0).failing = false;
    world.advance(Duration::from_secs(4));
    assert_eq!(world.worker(0).run_count(), 0);
    world
}

/// Guards against a worker that takes nothing beside one long-running task, for as long as that
/// lasts.
#[test]
fn beside_lasting_task() {
    let mut world = recovering_world();
    world.submit(lasting(10, 1, 1));
    world.advance(TRIAL_TIME);
    world.submit(job(3, steps(1, 1, 500)));
    world.advance(TRIAL_TIME);
    assert_eq!(world.state(JobId::new(3)), Some(JobState::Complete));
}

/// Guards against the same beside a task that takes long to complete.
#[test]
fn beside_long_task() {
    let mut world = recovering_world();
    world.worker(0).work_ms = 40_000;
    world.submit(job(3, steps(1, 1, 40_000)));
    world.advance(TRIAL_TIME);
    world.submit(job(4, steps(1, 1, 40_000)));
    world.advance(Duration::from_millis(500));
    assert_eq!(world.worker(0).run_count(), 2);
}

/// Guards against the same beside a task that runs since before the pause.
#[test]
fn beside_earlier_task() {
    let mut world = World::new(12, 1);
    world.worker(0).lasting_jobs = vec![10];
    world.submit(lasting(10, 1, 1));
    world.advance(Duration::from_secs(2));
    world.worker(0).failing = true;
    for id in [1, 2] {
        world.submit(job(id, steps(1, 1, 500)));
    }
    world.advance(Duration::from_millis(1_200));
    world.worker(0).failing = false;
    world.advance(Duration::from_secs(6));
    for id in [1, 2] {
        let state = world.state(JobId::new(id));
        assert_eq!(state, Some(JobState::Complete), "job {id}");
    }
}

/// Guards against long-running tasks that start one after the other on a worker that is well.
#[test]
fn many_lasting_tasks() {
    let mut world = recovering_world();
    world.submit(lasting(10, 8, 8));
    world.advance(Duration::from_secs(7));
    assert_eq!(world.worker(0).run_count(), 8);
}

/// Guards against a faulty worker that is given several tasks at once after its pause.
#[test]
fn still_faulty() {
    let mut world = recovering_world();
    world.worker(0).failing = true;
    world.worker(0).max_runs = 0;
    for id in 3..9 {
        world.submit(job(id, steps(1, 1, 500)));
    }
    world.advance(Duration::from_secs(8));
    assert_eq!(world.worker(0).max_runs, 1);
}

/// Guards against a job that waits for longer on a worker that has been faulty for long: seven seconds
/// after the fault is over, work that only this worker can do has to run.
#[test]
fn long_fault() {
    let mut world = World::new(13, 1);
    world.worker(0).failing = true;
    for id in 1..30 {
        world.submit(job(id, steps(1, 1, 500)));
        world.advance(Duration::from_secs(1));
    }
    let mut longest = 0;
    for id in 30..60 {
        world.worker(0).failing = false;
        let started = world.worker(0).started.len();
        let mut waited = 0;
        while world.worker(0).started.len() == started {
            world.advance(Duration::from_millis(100));
            waited += 100;
        }
        longest = longest.max(waited);
        world.worker(0).failing = true;
        for late in 0..4 {
            world.submit(job(id + 100 * (late + 1), steps(1, 1, 500)));
        }
        world.advance(Duration::from_millis(1_700));
    }
    assert!(longest <= 4_500, "waited {longest} ms");
}
