//! State of a worker that is registered again in the same incarnation.

mod world;

use std::time::Duration;

use world::{World, lasting};

/// Guards against a task that starts on an instance that was ordered to move away: the worker stays
/// closed when it is registered again.
#[test]
fn stays_closed() {
    let mut world = World::new(1, 1);
    world.worker(0).lasting_jobs = vec![1];
    world.advance(Duration::from_secs(1));
    let (id, entry, now) = {
        let now = world.now;
        let worker = world.worker(0);
        (worker.id.clone(), worker.entry(), now)
    };
    world.cell().begin_removal(&id);
    world.cell().unregister_worker(now, &id);
    world.advance(Duration::from_secs(1));
    let now = world.now;
    world.cell().register_worker(now, entry);
    world.submit(lasting(1, 1, 1));
    world.advance(Duration::from_secs(3));
    assert_eq!(world.worker(0).run_count(), 0);
}
