//! State of a worker that is registered again in the same incarnation.

mod world;

use std::time::Duration;

use cactuswheel_work::{JobId, JobState, WorkerId};
use world::{World, job, lasting, steps};

const SECOND: Duration = Duration::from_secs(1);

/// The roster removes a worker and, after `gap`, lists it again in the same incarnation.
fn relist(world: &mut World, number: usize, gap: Duration) {
    let (now, entry) = (world.now, world.worker(number).entry());
    world.cell().unregister_worker(now, &entry.id);
    world.advance(gap);
    let now = world.now;
    world.cell().register_worker(now, entry);
}

/// A world with one worker, whose instance is ordered to move away; also returns its id.
fn removal_world() -> (World, WorkerId) {
    let mut world = World::new(1, 1);
    world.worker(0).lasting_jobs = vec![1];
    world.advance(SECOND);
    let id = world.worker(0).id.clone();
    world.cell().begin_removal(&id);
    (world, id)
}

/// Number of runs on worker 0 after a long-running task was submitted.
fn runs_of_new_task(world: &mut World) -> usize {
    world.submit(lasting(1, 1, 1));
    world.advance(3 * SECOND);
    world.worker(0).run_count()
}

/// Guards against a task that starts on an instance that was ordered to move away: the worker stays
/// closed when it is registered again.
#[test]
fn stays_closed() {
    let (mut world, _) = removal_world();
    relist(&mut world, 0, SECOND);
    assert_eq!(runs_of_new_task(&mut world), 0);
}

/// Guards against a worker that stays closed for the rest of the epoch, because the order to its
/// instance was refused while the worker was not registered.
#[test]
fn refused_unlisted() {
    let (mut world, id) = removal_world();
    let (now, entry) = (world.now, world.worker(0).entry());
    world.cell().unregister_worker(now, &id);
    world.advance(SECOND);
    world.cell().reopen(&id);
    let now = world.now;
    world.cell().register_worker(now, entry);
    assert_eq!(runs_of_new_task(&mut world), 1);
}

/// Guards against a worker that stays closed for the rest of the epoch, because its next incarnation
/// has the identifier of the one whose instance moved away.
#[test]
fn moved_and_back() {
    let (mut world, id) = removal_world();
    world.cell().retire(&id);
    let now = world.now;
    world.worker(0).restart(now);
    let entry = world.worker(0).entry();
    world.cell().register_worker(now, entry);
    assert_eq!(runs_of_new_task(&mut world), 1);
}

/// Guards against work that counts as done twice. A worker completes a run that was abandoned and
/// restarted elsewhere, the job is forgotten after the retention time, and the worker is registered
/// again: its end record must still not be acknowledged.
#[test]
fn withheld_relisted() {
    let mut world = World::new(5, 2);
    world.submit(job(1, steps(1, 1, 700)));
    world.advance(Duration::from_millis(300));
    let busy = (0..2).find(|&n| world.worker(n).run_count() == 1);
    let busy = busy.expect("the task runs on one worker");
    world.worker(busy).connected = false;
    world.advance(5 * SECOND + SECOND / 4);
    world.worker(busy).connected = true;
    world.advance(2 * SECOND);
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Complete));
    world.advance(160 * SECOND);
    world.assert_no_violations();
    relist(&mut world, busy, SECOND / 2);
    world.advance(SECOND);
    world.assert_no_violations();
}
