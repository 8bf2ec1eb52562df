//! Runs of minutes, whose progress rises seldom.

mod world;

use std::time::Duration;

use cactuswheel_work::JobId;
use world::{World, job, steps};

const SECOND: Duration = Duration::from_secs(1);

/// Run time of the tasks, in milliseconds.
const RUN_TIME: u64 = 300_000;

/// Number of starts, and of runs at the end, in a world in which one task of [`RUN_TIME`] runs for
/// 40 s, with the caller's estimate in milliseconds and, if `changes`, a new owner every six
/// seconds.
fn starts(estimate: u64, changes: bool) -> (usize, usize) {
    let mut world = World::new(1, 2);
    for number in 0..2 {
        world.worker(number).work_ms = RUN_TIME;
    }
    world.submit(job(1, steps(1, 1, estimate)));
    for _ in 0..7 {
        world.advance(6 * SECOND);
        if changes {
            world.take_over();
            world.remove_old_owners();
        }
    }
    let runs = (0..2).map(|n| world.worker(n).run_count()).sum();
    (world.sent_starts.len(), runs)
}

/// Guards against work that is never done: a sound run of 300 s gains a percent every three
/// seconds, and is stopped each time because it seems to make no progress.
#[test]
fn sound_run_stays() {
    assert_eq!(starts(RUN_TIME, false), (1, 1), "an exact estimate");
    assert_eq!(
        starts(RUN_TIME / 3, false),
        (1, 1),
        "an estimate that is too low"
    );
    assert_eq!(
        starts(RUN_TIME * 3, false),
        (1, 1),
        "an estimate that is too high"
    );
    assert_eq!(starts(RUN_TIME, true), (1, 1), "with new owners");
}

/// Guards against work that is never done because its caller's estimate is far too low: each start
/// of a task that was stopped as stalled gets twice as long, and its workers stay in use.
#[test]
fn poor_estimate() {
    let (count, runs) = starts(1_000, false);
    assert!(count <= 4, "{count} starts");
    assert_eq!(runs, 1, "the task runs");
}

/// Guards against a stalled long run that is never restarted: once a run has shown its pace, a
/// standstill of several times that pace is noticed, whatever the caller estimated.
#[test]
fn stalled_long_run() {
    let mut world = World::new(1, 2);
    for number in 0..2 {
        world.worker(number).work_ms = 100_000;
    }
    world.submit(job(1, steps(1, 1, 100 * RUN_TIME)));
    world.advance(8 * SECOND);
    let at = (0..2).find(|&n| world.worker(n).run_count() == 1);
    let at = at.expect("the task runs");
    world.worker(at).stalled = true;
    world.advance(5 * SECOND);
    assert_eq!(
        world.worker(at).run_count(),
        0,
        "the stalled run was stopped"
    );
    assert_eq!(world.worker(1 - at).run_count(), 1, "it runs elsewhere");
    assert!(world.state(JobId::new(1)).is_some_and(|s| !s.is_final()));
}
