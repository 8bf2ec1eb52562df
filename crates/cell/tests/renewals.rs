//! Leases that are renewed while something else waits.

mod world;

use std::time::Duration;

use world::{World, job, lasting, steps};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against lasting work that loses its lease on a sound worker, since an end there waits for a
/// journal that takes longer than a lease.
#[test]
fn end_waits_for_journal() {
    let mut world = World::new(1, 1);
    world.worker(0).lasting = vec![1];
    world.worker(0).work = 500;
    world.submit(lasting(1, 1, 1));
    world.submit(job(2, steps(1, 1, 500)));
    world.run(SECOND / 4);
    assert_eq!(world.worker(0).count(), 2);
    world.store_down = true;
    world.outage = 7 * SECOND;
    world.run(6 * SECOND);
    assert_eq!(world.worker(0).count(), 1, "the lasting run is still there");
    world.assert_clean();
}

/// Guards against lasting work that loses its lease on a sound worker, since answers queue on the owner's own
/// link.
#[test]
fn answers_queue() {
    let mut world = World::new(2, 3);
    for number in 0..3 {
        world.worker(number).lasting = vec![1];
    }
    world.submit(lasting(1, 3, 1));
    world.run(2 * SECOND);
    world.cell().set_link_full(true);
    world.deaf = true;
    world.run(7 * SECOND);
    let running: usize = (0..3).map(|n| world.worker(n).count()).sum();
    assert_eq!(running, 3, "all go on");
    let begun: usize = (0..3).map(|n| world.worker(n).begun.len()).sum();
    assert_eq!(begun, 3, "none was started anew");
    world.deaf = false;
    world.run(3 * SECOND);
    world.assert_clean();
}

/// Guards against work on a worker that is gone for good, which never starts elsewhere since the owner's link
/// is full.
#[test]
fn full_link_ends() {
    let mut world = World::new(3, 2);
    for number in 0..2 {
        world.worker(number).lasting = vec![1];
    }
    world.submit(lasting(1, 1, 1));
    world.run(2 * SECOND);
    let place = (0..2).find(|n| world.worker(*n).count() == 1);
    let place = place.expect("it runs somewhere");
    world.worker(place).linked = false;
    world.cell().set_link_full(true);
    world.run(14 * SECOND);
    assert_eq!(world.worker(1 - place).count(), 1, "it runs elsewhere");
    world.assert_clean();
}
