//! Takeovers, and what the lists of a worker mean to the next owner.

mod world;

use std::time::Duration;

use cactuswheel_work::{JobId, JobState};
use world::{World, job, lasting, steps};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a job that makes no progress forever. A worker is unregistered and registered
/// again; an owner that forgot it and gave it the first fencing token again would take the worker's
/// refusal of the lower token as a sign of a newer owner. One increasing counter for all workers
/// prevents this.
#[test]
fn listed_again() {
    let mut world = World::new(1, 1);
    world.loss_percent = 60;
    world.submit(job(1, steps(1, 4, 700)));
    world.advance(3 * SECOND);
    world.loss_percent = 0;
    world.advance(8 * SECOND);
    let (now, entry) = (world.now, world.worker(0).entry());
    world.cell().unregister_worker(now, &entry.id);
    world.advance(6 * SECOND);
    let now = world.now;
    world.cell().register_worker(now, entry);
    world.submit(job(2, steps(1, 2, 700)));
    world.advance(5 * SECOND);
    world.assert_no_violations();
    assert_eq!(world.state(JobId::new(2)), Some(JobState::Complete));
}

/// Guards against work that runs twice. A worker does not answer for longer than its lease, its run
/// is abandoned, and the next poll lists the run as done; if this were ignored, the task would
/// start again. The end record counts, whichever run the task may have by then.
#[test]
fn given_up_but_done() {
    let mut world = World::new(2, 1);
    world.submit(job(1, steps(1, 2, 700)));
    world.advance(SECOND / 4);
    assert_eq!(world.worker(0).run_count(), 2);
    world.worker(0).connected = false;
    world.advance(6 * SECOND);
    world.worker(0).connected = true;
    world.advance(3 * SECOND);
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Complete));
    assert_eq!(world.worker(0).started.len(), 2, "each task ran once");
}

/// Guards against a job that fails after two failed runs instead of three. An owner journals a
/// failure and is replaced before it acknowledges the end record; the next owner sees the same
/// record listed. Failed runs are recorded by number, so that each counts once.
#[test]
fn failures_count_once() {
    let mut world = World::new(3, 1);
    let id = JobId::new(1);
    world.worker(0).failing = true;
    world.submit(job(1, steps(1, 1, 700)));
    for _ in 0..2 {
        world.advance(SECOND / 4);
        let before = newest_run(&mut world, id);
        while newest_run(&mut world, id) == before {
            world.advance(SECOND / 100);
        }
        world.take_over();
        world.remove_old_owners();
    }
    world.worker(0).failing = false;
    world.advance(6 * SECOND);
    assert_eq!(world.state(id), Some(JobState::Complete));
    assert_eq!(
        world.worker(0).started.len(),
        3,
        "two runs failed, the third completed"
    );
}

/// Number of the newest run of a job.
fn newest_run(world: &mut World, id: JobId) -> Option<u32> {
    let job = world.cell().job(id)?;
    job.runs.iter().map(|r| r.run).max()
}

/// Guards against a completed task that runs again because every owner is replaced after the end
/// record was listed and before it was journaled. The worker lists the record to the next owner
/// again.
#[test]
fn ends_survive() {
    let mut world = World::new(4, 2);
    world.submit(job(1, steps(2, 3, 700)));
    for _ in 0..10 {
        world.advance(Duration::from_millis(170));
        world.take_over();
        world.remove_old_owners();
    }
    world.advance(5 * SECOND);
    world.assert_no_violations();
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Complete));
}

/// Guards against a cancelled job that continues after a takeover. The cancellation is in the
/// intake before the job's journal record shows it, and takes precedence over that record.
#[test]
fn cancelled_stays() {
    let mut world = World::new(5, 1);
    world.submit(job(1, steps(1, 3, 5_000)));
    world.worker(0).work_ms = 5_000;
    world.advance(SECOND);
    world.cancel(JobId::new(1));
    world.take_over();
    world.remove_old_owners();
    world.advance(SECOND);
    assert_eq!(world.worker(0).run_count(), 0);
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Cancelled));
}

/// No run starts before the journal holds it: while the store is slow new jobs wait, and current
/// runs continue.
#[test]
fn store_away() {
    let mut world = World::new(6, 1);
    world.submit(job(1, steps(1, 2, 700)));
    world.advance(SECOND / 5);
    world.store_slow = true;
    world.submit(job(2, steps(1, 2, 700)));
    world.advance(SECOND);
    assert_eq!(
        world.worker(0).started.len(),
        2,
        "the second job waits for the journal"
    );
    world.store_slow = false;
    world.advance(4 * SECOND);
    assert_eq!(world.state(JobId::new(2)), Some(JobState::Complete));
}

/// Guards against an exceeded disruption budget. An owner stops one task and is replaced at once.
/// The worker lists the run as active until the stop is complete, so the new owner would stop
/// another task, and two would be inactive where one is allowed. A run of an earlier owner counts
/// as active only after the time in which such a stop would be complete.
#[test]
fn stop_under_way() {
    let mut world = World::new(31, 4);
    for number in 0..4 {
        world.worker(number).lasting_jobs = vec![1];
        world.worker(number).stop_time = Duration::from_millis(350);
    }
    world.submit(lasting(1, 2, 1));
    world.advance(Duration::from_secs(3));
    let busy: Vec<usize> = (0..4)
        .filter(|&n| world.worker(n).run_count() == 1)
        .collect();
    let ids: Vec<_> = busy.iter().map(|&n| world.worker(n).id.clone()).collect();
    world.cell().close(&ids[0], true);
    world.advance(Duration::from_millis(30));
    world.take_over();
    world.remove_old_owners();
    // The new owner evacuates the other worker as soon as that worker has answered a poll.
    world.advance(Duration::from_millis(40));
    world.cell().close(&ids[1], true);
    for _ in 0..100 {
        world.advance(Duration::from_millis(10));
        let away = (0..4).filter(|&n| world.worker(n).run_count() == 1).count();
        assert!(away >= 1, "both tasks are inactive");
    }
    world.advance(Duration::from_secs(4));
    assert_eq!(
        world.worker(busy[1]).run_count(),
        0,
        "the second task is stopped in the end"
    );
    world.assert_no_violations();
}
