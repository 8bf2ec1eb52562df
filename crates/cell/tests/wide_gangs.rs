//! Gangs that do not fit as a whole: the jobs beside them are accepted and start as without them.

mod world;

use std::time::Duration;

use cactuswheel_work::{JobId, JobState, Submission};
use world::{FakeWorker, World, job, steps};

const SECOND: Duration = Duration::from_secs(1);

/// Longest time between the submission of a short job and its start, in milliseconds.
const MAX_WAIT: u64 = 200;

/// Identifier of the first short job; the gangs have lower ones.
const SHORT_JOBS: u64 = 1_000;

/// Number of workers, each with room for eight tasks.
const WORKERS: usize = 6;

/// A gang of `count` tasks.
fn gang(id: u64, count: u32) -> Submission {
    let mut steps = steps(1, count, 1_000);
    steps[0].gang = true;
    Submission {
        team: None,
        ..job(id, steps)
    }
}

fn short(id: u64) -> Submission {
    job(id, steps(1, 1, 700))
}

fn world(seed: u64) -> World {
    let mut world = World::new(seed, WORKERS);
    world.advance(2 * SECOND);
    world
}

fn has_started(world: &World, id: u64) -> bool {
    let mut starts = world.workers.values().flat_map(|w| &w.started);
    starts.any(|(task, ..)| task.job() == JobId::new(id))
}

/// Submits a short job and checks that it is accepted and starts at once.
fn assert_short_job_starts(world: &mut World, id: u64) {
    let sub = short(id);
    let delay = world.cell().overload_delay(&sub);
    assert_eq!(delay, None, "job {id} is refused");
    world.submit(sub);
    world.advance(Duration::from_millis(MAX_WAIT));
    assert!(has_started(world, id), "job {id} waits");
}

/// Guards against calls that are refused as too late behind gangs that all workers of the pool
/// together cannot hold, be it that such gangs come at a steady rate.
#[test]
fn beyond_pool() {
    let mut world = world(1);
    for round in 0..20 {
        for id in 0..5 {
            world.submit(gang(round * 5 + id, 240));
        }
        assert_short_job_starts(&mut world, SHORT_JOBS + round);
        world.advance(SECOND / 2);
    }
    world.assert_no_violations();
}

/// Guards against a gang that waits apart for ever although enough workers have been registered
/// since.
#[test]
fn pool_grows() {
    let mut world = world(2);
    world.submit(gang(0, 60));
    world.advance(SECOND);
    assert!(!has_started(&world, 0), "six workers hold 48 tasks");
    for number in WORKERS..WORKERS + 2 {
        let worker = FakeWorker::new(number, world.now);
        let (now, entry) = (world.now, worker.entry());
        world.workers.insert(worker.id.clone(), worker);
        world.cell().register_worker(now, entry);
    }
    world.advance(3 * SECOND);
    assert_eq!(world.state(JobId::new(0)), Some(JobState::Complete));
    world.assert_no_violations();
}

/// Guards against a gang that waits apart for ever because it was handed in to a full pool: it fits
/// once the pool is empty.
#[test]
fn full_pool_empties() {
    let mut world = world(3);
    for worker in world.workers.values_mut() {
        worker.work_ms = 1_500;
    }
    for id in 1..=10 {
        world.submit(short(id));
    }
    world.advance(SECOND / 2);
    world.submit(gang(0, 48));
    world.advance(6 * SECOND);
    assert_eq!(world.state(JobId::new(0)), Some(JobState::Complete));
    world.assert_no_violations();
}

/// Guards against short jobs that wait because a gang, which fits into the pool but not beside the
/// runs there, is looked at first in every cycle and finds no room for its last tasks.
#[test]
fn beside_waiting_gangs() {
    let mut world = world(4);
    for worker in world.workers.values_mut() {
        worker.work_ms = 8_000;
    }
    for id in 100..110 {
        world.submit(short(id));
    }
    world.advance(SECOND);
    for id in 0..24 {
        world.submit(gang(id, 48));
    }
    world.advance(SECOND / 10);
    for id in SHORT_JOBS..SHORT_JOBS + 3 {
        world.submit(short(id));
        world.advance(Duration::from_millis(MAX_WAIT));
        assert!(has_started(&world, id), "job {id} waits");
    }
    world.assert_no_violations();
}

/// Guards against a gang that is not tried because a larger one found no room in the same cycle.
#[test]
fn smaller_gang_starts() {
    let mut world = world(5);
    for worker in world.workers.values_mut() {
        worker.work_ms = 8_000;
    }
    world.submit(short(100));
    world.advance(SECOND);
    world.submit(gang(0, 48));
    world.submit(gang(1, 20));
    world.advance(SECOND / 2);
    assert!(!has_started(&world, 0), "47 places are free");
    assert!(has_started(&world, 1), "the smaller gang waits");
    world.assert_no_violations();
}

/// Guards against calls that are refused as too late behind a step that nobody can run, in a job
/// whose other steps wait for the team's quota.
#[test]
fn beside_waiting_steps() {
    for after in [Vec::new(), vec![0]] {
        let mut world = world(6);
        for worker in world.workers.values_mut() {
            worker.work_ms = 8_000;
        }
        world.submit(job(100, steps(1, 15, 8_000)));
        world.advance(SECOND);
        for id in 0..5 {
            let mut both = steps(2, 1, 1_000);
            both[1].count = 240;
            both[1].gang = true;
            both[1].after.clone_from(&after);
            world.submit(job(id, both));
        }
        world.advance(SECOND / 10);
        let sub = Submission {
            team: None,
            ..short(SHORT_JOBS)
        };
        assert_eq!(world.cell().overload_delay(&sub), None, "after {after:?}");
    }
}

/// Guards against calls that are refused as too late behind gangs that need more than their team
/// may ever have running.
#[test]
fn beyond_quota() {
    let mut world = world(7);
    for id in 0..50 {
        let sub = Submission {
            team: Some("team".into()),
            ..gang(id, 20)
        };
        world.submit(sub);
    }
    world.advance(SECOND / 10);
    let sub = Submission {
        team: None,
        ..short(SHORT_JOBS)
    };
    assert_eq!(world.cell().overload_delay(&sub), None);
    assert!(!has_started(&world, 0), "the quota has room for 15 tasks");
    world.configure(|config| {
        for team in config.teams.values_mut() {
            team.cap.0.cpu = 100_000;
        }
    });
    world.advance(SECOND);
    assert!(has_started(&world, 0), "the quota has grown");
}
