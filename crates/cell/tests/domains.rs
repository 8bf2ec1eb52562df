//! Failure domains: how many jobs the loss of a data centre affects.

mod world;

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_model::Set;
use cactuswheel_work::JobId;
use world::{World, config, job, lasting, steps};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against jobs that are spread over data centres. If each of a job's six tasks went
/// wherever there is room, nearly every job would have a task in each of the four data centres, and
/// nearly every caller would wait for a lease to expire when one of them becomes unreachable. The
/// tasks of a job stay in one data centre as long as it has room, in whatever order room became
/// free.
#[test]
fn job_in_one() {
    let mut world = World::new(1, 16);
    for number in 0..16 {
        world.worker(number).zone = ["a", "b", "c", "d"][number % 4];
        let (now, entry) = (world.now, world.worker(number).entry());
        world.cell().register_worker(now, entry);
    }
    let mut free = config();
    free.version = 2;
    free.teams.clear();
    let now = world.now;
    world.cell().configure(now, Arc::new(free));
    // A long-running job leaves room for two tasks on each worker.
    for number in 0..16 {
        world.worker(number).lasting_jobs = vec![1];
    }
    world.advance(SECOND);
    world.submit(lasting(1, 96, 6));
    world.advance(SECOND);
    for id in 100..104 {
        world.submit(job(id, steps(1, 6, 2_000)));
        world.advance(SECOND / 50);
    }
    world.advance(SECOND / 10);
    let running: usize = (0..16).map(|n| world.worker(n).run_count()).sum();
    assert_eq!(running, 96 + 24, "every task runs");
    let mut split_jobs = 0;
    for id in 100..104 {
        let zones: Set<&str> = world
            .workers
            .values()
            .filter(|w| w.runs().any(|(task, _)| task.job() == JobId::new(id)))
            .map(|w| w.zone)
            .collect();
        split_jobs += usize::from(zones.len() > 1);
    }
    assert!(
        split_jobs == 0,
        "{split_jobs} of 4 jobs are in several data centres"
    );
    world.assert_no_violations();
}
