//! Moves of long-running tasks: the choice of the new worker, and how soon the task is seen to be
//! active there.

mod world;

use std::time::Duration;

use cactuswheel_cell::Output;
use cactuswheel_model::Set;
use cactuswheel_work::{StartOutcome, WorkerId};
use world::{World, lasting};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a late maintenance wave. A disruption budget lets one task of a step move at a
/// time, and the next waits until the first is seen to be active; a poll that waits a second for an
/// end would show this a second late. Once a long-running run has started, polls return soon.
#[test]
fn seen_at_work() {
    let mut world = World::new(1, 1);
    world.advance(SECOND);
    world.submit(lasting(1, 1, 0));
    let now = world.now.after(SECOND / 100);
    let cell = world.cell();
    for output in cell.poll(now, now.get()) {
        if let Output::Append(batch) = output {
            cell.appended(now, batch.number);
        }
    }
    for output in cell.poll(now, now.get()) {
        if let Output::Start { worker, order, .. } = output {
            let (task, run) = (order.task, order.run);
            cell.start_answered(now, &worker, task, run, StartOutcome::Started);
        }
    }
    let outputs = cell.poll(now, now.get());
    let waits = outputs.iter().filter_map(|o| match o {
        Output::PollWorker { order, .. } => Some(order.wait),
        _ => None,
    });
    let waits: Vec<Duration> = waits.collect();
    assert_eq!(waits.len(), 1, "a new poll replaces the one in flight");
    assert!(waits[0] <= SECOND / 4, "{:?}", waits[0]);
}

/// Guards against moving a long-running task twice: it leaves an instance for a maintenance wave,
/// goes to another instance of the same wave because other long-running tasks are there, and has to
/// move again. An instance that is not due for maintenance soon is preferred, even if it is empty.
#[test]
fn not_to_the_next_one() {
    let mut world = World::new(2, 2);
    for number in 0..2 {
        world.worker(number).lasting_jobs = vec![1, 2];
    }
    world.advance(SECOND);
    world.submit(lasting(1, 1, 0));
    world.advance(SECOND);
    let full = (0..2).find(|n| world.worker(*n).run_count() == 1);
    let full = full.expect("the task runs on one worker");
    let due: Set<WorkerId> = [world.worker(full).id.clone()].into_iter().collect();
    world.cell().expect_maintenance(&due);
    world.submit(lasting(2, 1, 0));
    world.advance(SECOND);
    assert_eq!(world.worker(full).run_count(), 1);
    assert_eq!(world.worker(1 - full).run_count(), 1);
}

/// Guards against a long-running task that is inactive for ten seconds although its pool has room.
/// Its worker is evacuated, and the only other open worker has as many tasks of the step as
/// `spread` allows, so a stopped task could not start anywhere. It is stopped only once a worker
/// may take it.
#[test]
fn no_place_no_leave() {
    let mut world = World::new(3, 3);
    for number in 0..3 {
        world.worker(number).lasting_jobs = vec![1];
    }
    let spare = world.worker(2).id.clone();
    world.advance(SECOND);
    world.cell().close(&spare, false);
    world.submit(lasting(1, 2, 1));
    world.advance(3 * SECOND);
    assert_eq!(
        (world.worker(0).run_count(), world.worker(1).run_count()),
        (1, 1)
    );
    let emptied = world.worker(0).id.clone();
    world.cell().close(&emptied, true);
    world.advance(3 * SECOND);
    assert_eq!(
        world.worker(0).run_count(),
        1,
        "no other worker may take the task"
    );
    world.cell().reopen(&spare);
    world.advance(3 * SECOND);
    assert_eq!(
        (world.worker(0).run_count(), world.worker(2).run_count()),
        (0, 1)
    );
    world.assert_no_violations();
}
