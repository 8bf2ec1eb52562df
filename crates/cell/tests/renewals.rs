//! Lease renewals while end records wait for the journal or answers are delayed.

mod world;

use std::time::Duration;

use world::{World, job, lasting, steps};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a long-running run that loses its lease on a healthy worker because an end record
/// of this worker waits for an append that takes longer than a lease.
#[test]
fn end_waits_for_journal() {
    let mut world = World::new(1, 1);
    world.worker(0).lasting_jobs = vec![1];
    world.worker(0).work_ms = 500;
    world.submit(lasting(1, 1, 1));
    world.submit(job(2, steps(1, 1, 500)));
    world.advance(SECOND / 4);
    assert_eq!(world.worker(0).run_count(), 2);
    world.store_slow = true;
    world.append_delay = 7 * SECOND;
    world.advance(6 * SECOND);
    assert_eq!(
        world.worker(0).run_count(),
        1,
        "the long-running run continues"
    );
    world.assert_no_violations();
}

/// Guards against long-running runs that lose their leases on healthy workers because answers queue
/// on the owner's own link.
#[test]
fn answers_queue() {
    let mut world = World::new(2, 3);
    for number in 0..3 {
        world.worker(number).lasting_jobs = vec![1];
    }
    world.submit(lasting(1, 3, 1));
    world.advance(2 * SECOND);
    world.cell().set_link_full(true);
    world.answers_lost = true;
    world.advance(7 * SECOND);
    let running: usize = (0..3).map(|n| world.worker(n).run_count()).sum();
    assert_eq!(running, 3, "all runs continue");
    let started: usize = (0..3).map(|n| world.worker(n).started.len()).sum();
    assert_eq!(started, 3, "no task was restarted");
    world.answers_lost = false;
    world.advance(3 * SECOND);
    world.assert_no_violations();
}

/// Guards against a task on a permanently lost worker that never restarts elsewhere because the
/// owner's link is saturated.
#[test]
fn full_link_ends() {
    let mut world = World::new(3, 2);
    for number in 0..2 {
        world.worker(number).lasting_jobs = vec![1];
    }
    world.submit(lasting(1, 1, 1));
    world.advance(2 * SECOND);
    let place = (0..2).find(|n| world.worker(*n).run_count() == 1);
    let place = place.expect("the task runs on one worker");
    world.worker(place).connected = false;
    world.cell().set_link_full(true);
    world.advance(14 * SECOND);
    assert_eq!(
        world.worker(1 - place).run_count(),
        1,
        "the task runs on the other worker"
    );
    world.assert_no_violations();
}
