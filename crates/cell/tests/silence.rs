//! Workers that stop answering, make no progress or fail all their runs.

mod world;

use std::time::Duration;

use cactuswheel_cell::Output;
use cactuswheel_model::Millis;
use cactuswheel_work::{JobId, JobState, PollError, StepId, TaskId};
use world::{World, job, lasting, steps};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a long-running task that is never restarted after its worker lost power. If each
/// poll of the worker also renewed the lease, the expiry that the owner waits for would never come.
/// Polls of an unresponsive worker do not renew its lease.
#[test]
fn lease_ends() {
    let mut world = World::new(1, 2);
    for number in 0..2 {
        world.worker(number).lasting_jobs = vec![1];
    }
    world.submit(lasting(1, 2, 1));
    world.advance(2 * SECOND);
    assert_eq!(
        (world.worker(0).run_count(), world.worker(1).run_count()),
        (1, 1)
    );
    world.worker(0).up = false;
    world.advance(12 * SECOND);
    let now = world.now;
    world.worker(0).restart(now);
    let entry = world.worker(0).entry();
    world.cell().register_worker(now, entry);
    world.advance(2 * SECOND);
    assert_eq!(
        (world.worker(0).run_count(), world.worker(1).run_count()),
        (1, 1)
    );
    world.assert_no_violations();
}

/// Guards against two inactive tasks of a step whose disruption budget allows one. A worker is
/// evacuated while another worker with a task of the same step does not answer; the last answer of
/// that worker must not count as proof that its task is active.
#[test]
fn budget_counts_silent() {
    let mut world = World::new(2, 4);
    for number in 0..4 {
        world.worker(number).lasting_jobs = vec![1];
    }
    world.submit(lasting(1, 2, 1));
    world.advance(3 * SECOND);
    let busy: Vec<usize> = (0..4)
        .filter(|&n| world.worker(n).run_count() == 1)
        .collect();
    world.worker(busy[0]).up = false;
    world.advance(2 * SECOND);
    let other = world.worker(busy[1]).id.clone();
    world.cell().close(&other, true);
    world.advance(SECOND);
    assert_eq!(
        world.worker(busy[1]).run_count(),
        1,
        "the task stays until the other is active again"
    );
    world.advance(8 * SECOND);
    assert_eq!(
        world.worker(busy[1]).run_count(),
        0,
        "the task is stopped once the other is active"
    );
    world.assert_no_violations();
}

/// A task of the first step of a job.
fn task(job: u64, index: u32) -> TaskId {
    let step = StepId {
        job: JobId::new(job),
        turn: 0,
        step: 0,
    };
    TaskId { step, index }
}

/// Guards against two inactive tasks of a step where one is allowed. An unresponsive worker answers
/// a poll that renews nothing, its lease expires before the next poll renews it, and another task
/// is stopped in between.
#[test]
fn budget_counts_unrenewed() {
    for lease in (2_800..3_800).step_by(20) {
        let mut world = World::new(2, 4);
        world.lease = Millis::new(lease);
        world.take_over();
        world.remove_old_owners();
        for number in 0..4 {
            world.worker(number).lasting_jobs = vec![1];
        }
        world.submit(lasting(1, 2, 1));
        world.advance(3 * SECOND);
        let busy: Vec<usize> = (0..4)
            .filter(|&n| world.worker(n).run_count() == 1)
            .collect();
        let silent = busy[0];
        world.worker(silent).drops_orders = true;
        let other = world.worker(busy[1]).id.clone();
        world.advance(2 * SECOND);
        world.cell().close(&other, true);
        // Exactly one poll reaches the worker.
        world.worker(silent).drops_orders = false;
        let polls = world.worker(silent).answered_polls;
        while world.worker(silent).answered_polls == polls {
            world.advance(SECOND / 100);
        }
        world.worker(silent).drops_orders = true;
        for _ in 0..60 {
            world.advance(SECOND / 100);
            let tasks = [0, 1].map(|n| task(1, n));
            let at_work = tasks.map(|t| (0..4).any(|n| world.worker(n).is_active(t)));
            assert_ne!(
                at_work, [false; 2],
                "no task is active, lease of {lease} ms"
            );
        }
    }
}

/// Guards against a caller that waits forever for a run that its worker lists and never finishes. A
/// run without progress is restarted on another worker, and the stalled worker gets no tasks for a
/// while.
#[test]
fn standing_still() {
    let mut world = World::new(3, 2);
    world.worker(0).stalled = true;
    world.worker(1).stalled = true;
    world.submit(job(1, steps(1, 1, 700)));
    world.advance(SECOND);
    let stalled_number = (0..2).find(|&n| world.worker(n).run_count() == 1);
    let stalled_number = stalled_number.expect("the task runs on one worker");
    world.worker(1 - stalled_number).stalled = false;
    world.advance(5 * SECOND);
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Complete));
    assert_eq!(
        world.worker(1 - stalled_number).started.len(),
        1,
        "the task ran once on the healthy worker"
    );
}

/// Guards against healthy jobs that fail because of one worker, which fails every run within
/// milliseconds, has room again at once and gets the next task. After failed runs of two jobs the
/// worker gets no tasks for a while.
#[test]
fn failing_worker() {
    let mut world = World::new(4, 3);
    world.worker(0).failing = true;
    world.worker(0).work_ms = 20;
    for id in 0..8 {
        world.submit(job(id, steps(1, 4, 700)));
        world.advance(SECOND / 2);
    }
    world.advance(10 * SECOND);
    let complete = (0..8).filter(|id| world.state(JobId::new(*id)) == Some(JobState::Complete));
    assert_eq!(complete.count(), 8);
    let tried = world.worker(0).started.len();
    assert!(tried <= 10, "the failing worker got {tried} starts");
}

/// Guards against a worker that gets no tasks for 0.5 s because one answer was lost: the first
/// retry of a poll is sent at once, and only later ones are delayed.
#[test]
fn one_lost_answer() {
    let mut world = World::new(3, 1);
    let now = world.now;
    let cell = world.cell();
    let mut polls = Vec::new();
    for pause in [0, 0, 100] {
        let now = now.after(Duration::from_millis(pause));
        let outputs = cell.poll(now, now.get());
        let sent_poll = outputs.into_iter().find_map(|o| match o {
            Output::PollWorker {
                worker,
                poll_number,
                ..
            } => Some((worker, poll_number)),
            _ => None,
        });
        if let Some((worker, number)) = &sent_poll {
            cell.poll_answered(
                now,
                worker,
                *number,
                Err(PollError::Unknown("silence".into())),
            );
        }
        polls.push(sent_poll.is_some());
    }
    assert_eq!(polls, [true, true, false]);
}

/// Guards against a long-running task that ends with its worker's lease and is never restarted,
/// because the outcome of one poll of the worker was not reported.
#[test]
fn unreported_poll() {
    let mut world = World::new(3, 1);
    world.worker(0).lasting_jobs = vec![1];
    world.submit(lasting(1, 1, 1));
    world.advance(2 * SECOND);
    world.polls_unreported = true;
    world.advance(SECOND);
    world.polls_unreported = false;
    let polls = world.worker(0).answered_polls;
    world.advance(10 * SECOND);
    assert!(
        world.worker(0).answered_polls > polls,
        "the worker is polled again"
    );
    assert_eq!(world.worker(0).run_count(), 1, "the task runs");
    assert_eq!(world.worker(0).started.len(), 1, "its lease was renewed");
    world.assert_no_violations();
}
