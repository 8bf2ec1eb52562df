//! Tasks that crash every worker on which they start.

mod world;

use std::time::Duration;

use cactuswheel_work::{JobId, JobState, StepId, TaskId};
use world::{FakeWorker, World, job, lasting, steps};

const SECOND: Duration = Duration::from_secs(1);

/// Highest number of starts that a task which crashes its workers may get.
const MAX_STARTS: usize = 5;

/// The first task of a job.
fn first_task(job: u64) -> TaskId {
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
fn lethal_world(seed: u64, workers: usize, jobs: &[u64]) -> World {
    let mut world = World::new(seed, workers);
    for number in 0..workers {
        world.worker(number).lethal_tasks = jobs.iter().map(|j| first_task(*j)).collect();
    }
    world
}

/// Number of starts of a task.
fn start_count(world: &World, task: TaskId) -> usize {
    let started = world.workers.values().flat_map(|w| &w.started);
    started.filter(|(t, ..)| *t == task).count()
}

/// Guards against a task that is restarted forever and crashes a worker each time.
#[test]
fn endless_crashes() {
    let mut world = lethal_world(1, 4, &[1]);
    world.submit(job(1, steps(1, 1, 700)));
    world.advance(60 * SECOND);
    let count = start_count(&world, first_task(1));
    assert!(count <= MAX_STARTS, "{count} starts");
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Failed));
    world.assert_no_violations();
}

/// Guards against a task that is restarted forever because the owner changes between its crashes.
#[test]
fn crashes_over_takeovers() {
    let mut world = lethal_world(2, 4, &[1]);
    world.submit(job(1, steps(1, 1, 700)));
    for _ in 0..20 {
        world.advance(12 * SECOND);
        world.take_over();
        world.remove_old_owners();
    }
    let count = start_count(&world, first_task(1));
    assert!(count <= MAX_STARTS, "{count} starts");
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Failed));
    world.assert_no_violations();
}

/// Guards against a task that crashes its worker late. Its run has been active for a while, so only
/// the number of crashes distinguishes it from the other runs on the worker.
#[test]
fn slow_crashes() {
    let mut world = lethal_world(3, 6, &[1]);
    for number in 0..6 {
        world.worker(number).crash_delay = 500;
    }
    world.submit(job(1, steps(1, 1, 2_000)));
    world.advance(60 * SECOND);
    let count = start_count(&world, first_task(1));
    assert!(count <= MAX_STARTS, "{count} starts");
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Failed));
}

/// Guards against a long-running task that crashes its workers forever.
#[test]
fn lasting_crashes() {
    let mut world = lethal_world(4, 4, &[1]);
    for number in 0..4 {
        world.worker(number).lasting_jobs = vec![1, 2];
    }
    world.submit(lasting(1, 2, 1));
    world.submit(lasting(2, 2, 1));
    world.advance(60 * SECOND);
    let count = start_count(&world, first_task(1));
    assert!(count <= MAX_STARTS, "{count} starts");
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Failed));
    assert_eq!(world.state(JobId::new(2)), Some(JobState::Running));
    world.assert_no_violations();
}

/// In a busy pool, one job in twenty crashes its workers. Guards against failing the jobs whose
/// tasks run beside such tasks, and against starting these tasks together again and again.
#[test]
fn flood_of_crashes() {
    let crashing: Vec<u64> = (0..100).filter(|n| n % 20 == 7).collect();
    let mut world = lethal_world(5, 12, &crashing);
    for id in 0..100 {
        world.submit(job(id, steps(1, 3, 700)));
        world.advance(SECOND / 10);
    }
    world.advance(30 * SECOND);
    for id in 0..100 {
        let expected = match crashing.contains(&id) {
            true => JobState::Failed,
            false => JobState::Complete,
        };
        assert_eq!(world.state(JobId::new(id)), Some(expected), "job {id}");
    }
    let count: usize = crashing
        .iter()
        .map(|id| start_count(&world, first_task(*id)))
        .sum();
    assert!(
        count <= MAX_STARTS * crashing.len(),
        "{count} starts of {}",
        crashing.len()
    );
    world.assert_no_violations();
}

/// For a minute, one job in four crashes its workers while a long-running job runs in the same
/// pool. Guards against failing the long-running job for crashes that other tasks cause.
#[test]
fn lasting_beside_crashes() {
    for seed in 0..10 {
        let crashing: Vec<u64> = (0..300).filter(|n| n % 4 == 1).collect();
        let mut world = lethal_world(seed, 12, &crashing);
        for number in 0..12 {
            world.worker(number).lasting_jobs = vec![900];
        }
        world.submit(lasting(900, 5, 3));
        for id in 0..300 {
            world.submit(job(id, steps(1, 3, 700)));
            world.advance(SECOND / 5);
        }
        let state = world.state(JobId::new(900));
        assert_eq!(state, Some(JobState::Running), "seed {seed}");
        world.advance(30 * SECOND);
        let count = crashing
            .iter()
            .map(|id| start_count(&world, first_task(*id)))
            .max();
        assert!(count <= Some(MAX_STARTS), "seed {seed}: {count:?} starts");
        world.assert_no_violations();
    }
}

/// Guards against failing healthy jobs because their workers crash for other reasons.
#[test]
fn crashes_by_themselves() {
    for seed in 0..20 {
        let mut world = World::new(seed, 6);
        for id in 0..30 {
            world.submit(job(id, steps(2, 4, 700)));
            world.advance(SECOND / 2);
            let now = world.now;
            let number = world.rng.below(6) as usize;
            if world.worker(number).up {
                world.worker(number).crash(now);
            }
        }
        world.advance(40 * SECOND);
        for id in 0..30 {
            let state = world.state(JobId::new(id));
            assert_eq!(state, Some(JobState::Complete), "job {id} of seed {seed}");
        }
        world.assert_no_violations();
    }
}

/// Guards against failing a healthy job because its workers become unreachable.
#[test]
fn cut_off_again() {
    let mut world = World::new(6, 3);
    for number in 0..3 {
        world.worker(number).lasting_jobs = vec![1];
    }
    world.submit(lasting(1, 1, 1));
    for _ in 0..6 {
        world.advance(SECOND / 2);
        let busy = (0..3).find(|&n| world.worker(n).run_count() == 1);
        let busy = busy.expect("the task runs somewhere");
        world.worker(busy).connected = false;
        let now = world.now;
        let id = world.worker(busy).id.clone();
        world.cell().unregister_worker(now, &id);
        world.advance(6 * SECOND);
        world.worker(busy).connected = true;
        let entry = world.worker(busy).entry();
        let now = world.now;
        world.cell().register_worker(now, entry);
        world.advance(2 * SECOND);
    }
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Running));
    world.assert_no_violations();
}

/// Guards against a crash that is not counted because the worker was closed in the meantime. Its
/// pool had one worker too many, and the crash of a closed worker looks like the removal of its
/// instance.
#[test]
fn crash_on_closed() {
    let mut world = lethal_world(7, 8, &[1]);
    world.submit(job(1, steps(1, 1, 700)));
    for _ in 0..6_000 {
        world.advance(SECOND / 100);
        let crashed = world.workers.values().filter(|w| w.crashed_at.is_some());
        let crashed: Vec<_> = crashed.map(|w| w.id.clone()).collect();
        for id in crashed {
            world.cell().close(&id, false);
        }
    }
    let count = start_count(&world, first_task(1));
    assert!(count <= MAX_STARTS, "{count} starts");
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Failed));
}

/// A long-running job of which one task after the other is at work for a while and then loses its
/// worker, five times and more. Guards against failing the job for these crashes, which would stop
/// its other tasks beyond the step's budget, and against the same after takeovers.
#[test]
fn lasting_at_work() {
    for (seed, taken_over) in [(8, false), (9, true)] {
        let mut world = World::new(seed, 8);
        world.budget = Some(1);
        for number in 0..8 {
            world.worker(number).lasting_jobs = vec![1];
        }
        world.submit(lasting(1, 5, 1));
        for _ in 0..10 {
            world.advance(2 * SECOND);
            let now = world.now;
            let running = world.workers.values_mut().find(|w| {
                let mut runs = w.runs();
                w.up && runs.any(|(task, _)| task == first_task(1))
            });
            running.expect("the task runs somewhere").crash(now);
            world.advance(6 * SECOND);
            if taken_over {
                world.take_over();
                world.remove_old_owners();
            }
        }
        let state = world.state(JobId::new(1));
        assert_eq!(state, Some(JobState::Running), "taken over: {taken_over}");
        world.assert_no_violations();
    }
}

/// Guards against failing a long-running job for crashes in its startup that come a second and more
/// after its start. Its tasks take long to get to work, and other causes crash the workers.
#[test]
fn lasting_in_startup() {
    let mut world = World::new(10, 8);
    for number in 0..8 {
        world.worker(number).lasting_jobs = vec![1];
        world.worker(number).stalled = true;
    }
    world.submit(lasting(1, 1, 1));
    for crash in 0..7 {
        let deadline = world.now.after(30 * SECOND);
        loop {
            for worker in world.workers.values_mut() {
                worker.stalled = true;
            }
            world.advance(SECOND / 10);
            assert!(world.now < deadline, "no run after {crash} crashes");
            let now = world.now;
            let old = |w: &&mut FakeWorker| {
                let last = w.started.last();
                w.run_count() == 1 && last.is_some_and(|s| now.since(s.2) >= SECOND * 3 / 2)
            };
            if let Some(worker) = world.workers.values_mut().find(old) {
                worker.crash(now);
                break;
            }
        }
    }
    world.advance(8 * SECOND);
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Running));
}

/// Guards against a long-running task that crashes its workers in its startup, forever.
#[test]
fn lasting_slow_crashes() {
    let mut world = lethal_world(11, 4, &[1]);
    for number in 0..4 {
        world.worker(number).lasting_jobs = vec![1];
        world.worker(number).crash_delay = 250;
    }
    world.submit(lasting(1, 1, 1));
    world.advance(60 * SECOND);
    let count = start_count(&world, first_task(1));
    assert!(count <= MAX_STARTS, "{count} starts");
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Failed));
}
