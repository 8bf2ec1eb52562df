//! Workers that have to be empty by a time, so that their instances can have their maintenance.

mod world;

use std::time::Duration;

use cactuswheel_cell::Cell;
use cactuswheel_model::Time;
use cactuswheel_work::WorkerId;
use world::{World, job, steps};

const SECOND: Duration = Duration::from_secs(1);

/// Creates two workers, the first of which runs a task of 20 s that the caller estimated at 1 s; a
/// new run on the second takes a second.
fn straggler(gang: bool) -> World {
    let mut world = World::new(1, 2);
    let second = world.worker(1).id.clone();
    world.worker(0).work_ms = 20_000;
    world.worker(1).work_ms = 1_000;
    world.advance(SECOND);
    world.cell().close(&second, false);
    let mut steps = steps(1, 1, 1_000);
    steps[0].gang = gang;
    world.submit(job(1, steps));
    world.advance(3 * SECOND);
    world.cell().reopen(&second);
    assert_eq!(world.worker(0).run_count(), 1);
    world
}

fn vacate(world: &mut World, after: Duration) -> (WorkerId, Time) {
    let worker = world.worker(0).id.clone();
    let by = world.now.after(after);
    let cell: &mut Cell = world.cell();
    cell.vacate(&worker, by);
    (worker, by)
}

/// Guards against a maintenance wave that is late for a single task which takes several times as
/// long as the others: it is started again on another worker.
#[test]
fn straggler_leaves() {
    let mut world = straggler(false);
    vacate(&mut world, 6 * SECOND);
    world.advance(SECOND);
    assert_eq!(world.worker(0).run_count(), 0, "its instance is free");
    world.advance(3 * SECOND);
    assert_eq!(world.worker(1).started.len(), 1, "started again elsewhere");
    assert_eq!(world.cell().take_tallies().runs_vacated, 1);
    world.assert_no_violations();
}

/// A run that ends in time by its progress is left alone.
#[test]
fn ends_in_time() {
    let mut world = straggler(false);
    vacate(&mut world, 30 * SECOND);
    world.advance(20 * SECOND);
    assert_eq!(world.cell().take_tallies().runs_vacated, 0);
    assert_eq!(world.worker(1).started.len(), 0);
    world.assert_no_violations();
}

/// Guards against stopping work that cannot start anywhere else before it is really due: the run
/// goes on until a stop has to be ordered for the worker to be empty in time.
#[test]
fn no_place_yet() {
    let mut world = straggler(false);
    let second = world.worker(1).id.clone();
    world.cell().close(&second, false);
    vacate(&mut world, 6 * SECOND);
    world.advance(4 * SECOND);
    assert_eq!(world.worker(0).run_count(), 1, "nobody could take the task");
    world.advance(3 * SECOND);
    assert_eq!(world.worker(0).run_count(), 0, "the time is over");
    world.assert_no_violations();
}

/// Guards against a whole gang being stopped on all its workers for the instance of one member.
#[test]
fn gang_stays() {
    let mut world = straggler(true);
    vacate(&mut world, 6 * SECOND);
    world.advance(8 * SECOND);
    assert_eq!(world.worker(0).run_count(), 1);
    assert_eq!(world.cell().take_tallies().runs_vacated, 0);
}

/// Guards against runs stopped on a worker that serves again.
#[test]
fn reopened() {
    let mut world = straggler(false);
    let (worker, _) = vacate(&mut world, 6 * SECOND);
    world.cell().reopen(&worker);
    world.advance(8 * SECOND);
    assert_eq!(world.worker(0).run_count(), 1);
}
