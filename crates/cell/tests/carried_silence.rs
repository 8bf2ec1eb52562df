//! Silence of workers over changes of owners.

mod world;

use std::time::Duration;

use world::{World, lasting};

const SECOND: Duration = Duration::from_secs(1);

/// A world with a long-running task on one of two workers; returns the number of that worker too.
fn one_task() -> (World, usize) {
    let mut world = World::new(1, 2);
    for number in 0..2 {
        world.worker(number).lasting_jobs = vec![1];
    }
    world.submit(lasting(1, 1, 1));
    world.advance(2 * SECOND);
    let at = (0..2).find(|&n| world.worker(n).run_count() == 1);
    (world, at.expect("the task runs"))
}

/// Guards against work on a lost worker that is never started again while the owner keeps changing:
/// each owner waited for the longest lease from its own takeover on.
#[test]
fn owners_change() {
    let (mut world, at) = one_task();
    world.worker(at).up = false;
    for _ in 0..3 {
        world.advance(3 * SECOND);
        world.take_over();
        world.remove_old_owners();
    }
    world.advance(SECOND);
    assert_eq!(world.worker(1 - at).run_count(), 1, "it runs elsewhere");
    world.assert_no_violations();
}

/// Guards against a task that runs twice: a worker answers again after its silence was recorded, the
/// record cannot be removed since the store is away, and the next owner relies on it. Until the
/// removal is in the journal, the lease of that worker is not renewed.
#[test]
fn answers_again() {
    for wait in [200, 700, 1_400, 2_000] {
        let (mut world, at) = one_task();
        world.worker(at).drops_orders = true;
        world.advance(5 * SECOND / 2);
        world.store_away = true;
        world.worker(at).drops_orders = false;
        world.advance(Duration::from_millis(wait));
        world.worker(at).drops_orders = true;
        world.take_over();
        world.store_away = false;
        world.advance(12 * SECOND);
        world.assert_no_violations();
        assert_eq!(world.worker(1 - at).run_count(), 1, "it runs elsewhere");
    }
}

/// Guards against the loss of sound work: a worker that answers again in time keeps its run.
#[test]
fn short_silence() {
    let (mut world, at) = one_task();
    for _ in 0..4 {
        world.worker(at).drops_orders = true;
        world.advance(5 * SECOND / 2);
        world.worker(at).drops_orders = false;
        world.advance(2 * SECOND);
    }
    world.advance(5 * SECOND);
    assert_eq!(world.worker(at).started.len(), 1, "the first run goes on");
    world.assert_no_violations();
}

/// Guards against a sound run that a new owner gives up: the lease of a silent worker is over by the
/// record, but the worker answers the new owner.
#[test]
fn answers_new_owner() {
    let (mut world, at) = one_task();
    world.worker(at).drops_orders = true;
    world.advance(2 * SECOND);
    world.worker(at).drops_orders = false;
    world.take_over();
    world.remove_old_owners();
    world.advance(8 * SECOND);
    assert_eq!(world.worker(at).started.len(), 1, "the first run goes on");
    world.assert_no_violations();
}
