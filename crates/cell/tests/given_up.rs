//! Runs that were abandoned because their worker did not answer, although they had completed there.

mod world;

use std::time::Duration;

use cactuswheel_work::{JobId, JobState, Submission};
use world::{World, job, steps};

const SECOND: Duration = Duration::from_secs(1);

/// A world in which job 1 runs on one of two workers, which then becomes unreachable; also returns
/// the number of that worker.
fn silent_worker_world() -> (World, usize) {
    let mut world = World::new(5, 2);
    world.submit(job(1, steps(1, 1, 700)));
    world.advance(Duration::from_millis(300));
    let busy = (0..2).find(|&n| world.worker(n).run_count() == 1);
    let busy = busy.expect("the task runs on one worker");
    world.worker(busy).connected = false;
    (world, busy)
}

/// Guards against work that counts as done twice. A worker becomes unreachable, its run completes
/// before the lease expires, so that no run is left to expire, the task is restarted elsewhere, and
/// then the worker answers again and lists the end record. The record is never acknowledged, and the worker gets no more tasks.
#[test]
fn done_unseen() {
    let (mut world, busy) = silent_worker_world();
    world.advance(5 * SECOND + SECOND / 4);
    assert_eq!(
        world.worker(1 - busy).run_count(),
        1,
        "the task was restarted on the other worker"
    );
    world.worker(busy).connected = true;
    world.advance(2 * SECOND);
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Complete));
    world.assert_no_violations();
    world.submit(job(2, steps(1, 8, 700)));
    world.advance(Duration::from_millis(400));
    assert_eq!(
        world.worker(busy).run_count(),
        0,
        "this incarnation gets no more tasks"
    );
    world.assert_no_violations();
    let now = world.now;
    world.worker(busy).restart(now);
    let entry = world.worker(busy).entry();
    world.cell().register_worker(now, entry);
    world.advance(2 * SECOND);
    world.worker(1 - busy).connected = false;
    world.advance(2 * SECOND);
    world.submit(job(3, steps(1, 1, 700)));
    world.advance(SECOND / 2);
    assert_eq!(
        world.worker(busy).run_count(),
        1,
        "a new incarnation gets tasks"
    );
}

/// Guards against work that counts as done twice if the job is finished and another owner has taken
/// the cell over by the time the worker answers again. The journal tells the new owner which
/// tasks were restarted after a run was abandoned.
#[test]
fn finished_and_taken_over() {
    let (mut world, busy) = silent_worker_world();
    world.advance(8 * SECOND);
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Complete));
    world.take_over();
    world.remove_old_owners();
    world.advance(SECOND);
    world.worker(busy).connected = true;
    world.advance(3 * SECOND);
    world.assert_no_violations();
}

/// If the worker answers again before its run was abandoned, the end record counts and the worker
/// continues to get tasks.
#[test]
fn back_in_time() {
    let (mut world, busy) = silent_worker_world();
    world.advance(2 * SECOND);
    world.worker(busy).connected = true;
    world.advance(3 * SECOND);
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Complete));
    assert_eq!(world.worker(1 - busy).started.len(), 0);
    world.submit(job(2, steps(1, 1, 700)));
    world.advance(SECOND / 2);
    let counts = world.worker(0).run_count() + world.worker(1).run_count();
    assert_eq!(counts, 1);
    world.assert_no_violations();
}

/// Guards against the same if the retention time of the job has passed before the takeover, so that
/// the journal no longer tells the new owner of the restarted task.
#[test]
fn forgotten_and_taken_over() {
    let (mut world, busy) = silent_worker_world();
    world.advance(5 * SECOND + SECOND / 4);
    world.worker(busy).connected = true;
    world.advance(2 * SECOND);
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Complete));
    world.advance(160 * SECOND);
    world.assert_no_violations();
    world.take_over();
    world.remove_old_owners();
    world.advance(SECOND);
    world.assert_no_violations();
}

/// A world whose worker with the returned number holds an end record that must not be acknowledged,
/// and in which no other worker can run the tasks of `labelled` jobs.
fn spent_worker_world() -> (World, usize) {
    let mut world = World::new(5, 2);
    for number in 0..2 {
        world.worker(number).labels.push(format!("only-{number}"));
    }
    world.take_over();
    world.remove_old_owners();
    world.submit(job(1, steps(1, 1, 700)));
    world.advance(Duration::from_millis(300));
    let busy = (0..2).find(|&n| world.worker(n).run_count() == 1);
    let busy = busy.expect("the task runs on one worker");
    world.worker(busy).connected = false;
    world.advance(8 * SECOND);
    world.worker(busy).connected = true;
    world.advance(2 * SECOND);
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Complete));
    assert_eq!(world.worker(busy).unacknowledged(), 1);
    (world, busy)
}

fn labelled(id: u64, worker: usize) -> Submission {
    let mut steps = steps(1, 1, 700);
    steps[0].label = Some(format!("only-{worker}"));
    job(id, steps)
}

/// Guards against a job that waits for ever because only a worker can run it that holds back an end
/// record. A lease expires on its first run, the record is acknowledged, and the worker is usable.
#[test]
fn needed_again() {
    let (mut world, busy) = spent_worker_world();
    world.submit(labelled(2, busy));
    world.advance(Duration::from_millis(2_500));
    assert_eq!(world.state(JobId::new(2)), Some(JobState::Complete));
    world.advance(3 * SECOND);
    assert_eq!(world.worker(busy).unacknowledged(), 0);
    world.submit(job(3, steps(1, 15, 700)));
    world.advance(Duration::from_millis(300));
    assert_eq!(
        world.worker(busy).run_count(),
        7,
        "the others are on the other worker"
    );
    world.assert_no_violations();
}

/// Guards against the same when the run completes before its lease expires, and for a long-running
/// task.
#[test]
fn needed_by_others() {
    let (mut world, busy) = spent_worker_world();
    world.worker(busy).work_ms = 200;
    world.submit(labelled(2, busy));
    world.advance(SECOND);
    assert_eq!(world.state(JobId::new(2)), Some(JobState::Complete));
    assert_ne!(world.worker(busy).unacknowledged(), 0);
    world.worker(busy).lasting_jobs = vec![3];
    let mut lasts = labelled(3, busy);
    let mut steps = lasts.steps.to_vec();
    steps[0].lasting = true;
    lasts.steps = steps.into();
    world.submit(lasts);
    world.advance(3 * SECOND);
    assert_eq!(world.worker(busy).run_count(), 1);
    world.advance(10 * SECOND);
    assert_eq!(world.worker(busy).run_count(), 1);
    assert_eq!(world.worker(busy).unacknowledged(), 0);
    world.assert_no_violations();
}
