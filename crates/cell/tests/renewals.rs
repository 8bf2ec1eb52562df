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
