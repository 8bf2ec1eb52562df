//! Permissions of the policy service that expire while their step waits.

mod world;

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_work::Submission;
use world::{World, advised_config, job, lasting, steps};

/// Guards against a job that stands still beside an idle worker, since the only worker for which it
/// has a permission stays full, and nobody asks for another when the permission has expired.
#[test]
fn asked_again() {
    let mut world = World::new(5, 2);
    world.config = Arc::new(advised_config());
    world.worker(0).lasting_jobs = vec![1];
    world.permitted = vec!["w0".into(), "w1".into()];
    world.worker(1).connected = false;
    world.take_over();
    world.remove_old_owners();
    world.advance(Duration::from_secs(1));
    world.submit(lasting(1, 8, 8));
    world.advance(Duration::from_secs(1));
    assert_eq!(world.worker(0).run_count(), 8, "the first worker is full");
    world.submit(Submission {
        team: None,
        queue: "advised".into(),
        ..job(2, steps(1, 1, 500))
    });
    world.advance(Duration::from_millis(200));
    world.worker(1).connected = true;
    world.advance(Duration::from_secs(4));
    let started = world.worker(1).started.len();
    assert_eq!(started, 1, "the job waits beside an idle worker");
}
