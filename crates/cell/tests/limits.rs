//! Team quotas, room of workers, order of steps, gangs, recurring jobs, labels, fillers and loads.

mod world;

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_model::Millis;
use cactuswheel_work::{JobId, JobState, Room};
use world::{World, config, job, lasting, steps};

const SECOND: Duration = Duration::from_secs(1);

/// A team's quota, which allows 15 tasks, holds across all workers, and waiting tasks are not lost.
#[test]
fn team_limit() {
    let mut world = World::new(1, 6);
    for id in 0..6 {
        world.submit(job(id, steps(1, 8, 700)));
    }
    let mut max_running = 0;
    for _ in 0..80 {
        world.advance(SECOND / 20);
        max_running = max_running.max((0..6).map(|n| world.worker(n).run_count()).sum());
    }
    assert_eq!(max_running, 15, "60 cores at 4 per task");
    world.advance(10 * SECOND);
    assert_eq!(world.state(JobId::new(5)), Some(JobState::Complete));
}

/// A quota that is lowered far below the current usage stops no run and allows no start.
#[test]
fn limit_cut() {
    let mut world = World::new(2, 2);
    world.submit(job(1, steps(1, 4, 700)));
    world.submit(job(2, steps(2, 4, 700)));
    world.advance(SECOND / 5);
    let mut cut = config();
    cut.version = 2;
    for team in cut.teams.values_mut() {
        team.cap.0.cpu = 1_000;
    }
    let now = world.now;
    world.cell().configure(now, Arc::new(cut));
    world.advance(3 * SECOND);
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Complete));
    assert_eq!(
        world.state(JobId::new(2)),
        Some(JobState::Running),
        "the second step waits for the quota"
    );
}

/// A worker that does not check its room is never sent more runs than fit into it.
#[test]
fn room_holds() {
    let mut world = World::new(3, 1);
    for id in 0..5 {
        world.submit(job(id, steps(1, 5, 700)));
    }
    world.advance(10 * SECOND);
    world.assert_no_violations();
    assert_eq!(world.state(JobId::new(4)), Some(JobState::Complete));
}

/// The tasks of a gang start together or not at all.
#[test]
fn whole_gang() {
    let mut world = World::new(4, 2);
    let mut steps = steps(1, 12, 700);
    steps[0].gang = true;
    world.submit(job(1, steps));
    world.submit(job(2, world::steps(1, 6, 700)));
    world.advance(SECOND / 10);
    let gang = |w: &mut World| {
        let runs = (0..2).flat_map(|n| w.worker(n).runs().collect::<Vec<_>>());
        runs.filter(|(t, _)| t.job() == JobId::new(1)).count()
    };
    assert!([0, 12].contains(&gang(&mut world)));
    world.advance(4 * SECOND);
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Complete));
    assert_eq!(world.state(JobId::new(2)), Some(JobState::Complete));
}

/// The occurrences of a recurring job start when they are due, not earlier, and may overlap.
#[test]
fn occurrences() {
    let mut world = World::new(5, 1);
    let mut sub = job(1, steps(1, 1, 700));
    sub.begin = world.now.get() + 1_000;
    sub.interval = Millis::new(400);
    sub.times = 3;
    world.submit(sub);
    world.advance(Duration::from_millis(950));
    assert_eq!(world.worker(0).started.len(), 0);
    world.advance(Duration::from_millis(1_000));
    assert_eq!(world.worker(0).started.len(), 3);
    world.advance(2 * SECOND);
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Complete));
}

/// A serving task exceeds its latency target while a filler runs on the same worker: the filler is
/// throttled within a second or two, and gets its full rate back when there is room.
#[test]
fn filler_yields() {
    let mut world = World::new(6, 1);
    world.worker(0).lasting_jobs = vec![1, 2];
    world.worker(0).gauge = 50;
    let mut serving = lasting(1, 1, 0);
    let mut steps: Vec<_> = serving.steps.to_vec();
    steps[0].target = Millis::new(40);
    serving.steps = steps.into();
    let mut filler = lasting(2, 1, 0);
    let mut steps: Vec<_> = filler.steps.to_vec();
    steps[0].filler = true;
    filler.steps = steps.into();
    world.submit(serving);
    world.submit(filler);
    world.advance(4 * SECOND);
    assert_eq!(world.paces.last().map(|p| p.percent), Some(0));
    world.worker(0).gauge = 5;
    world.advance(20 * SECOND);
    assert_eq!(world.paces.last().map(|p| p.percent), Some(100));
}

/// A job that needs a label runs only on the worker that has it.
#[test]
fn label_and_rack() {
    let mut world = World::new(7, 2);
    let mut steps = steps(1, 2, 700);
    steps[0].label = Some("b".into());
    world.submit(job(1, steps));
    world.advance(SECOND);
    assert_eq!(
        world.state(JobId::new(1)),
        Some(JobState::Queued),
        "no worker has the label"
    );
    let (now, mut entry) = (world.now, world.worker(1).entry());
    entry.labels = vec!["b".into(), "r2".into()];
    world.cell().register_worker(now, entry);
    world.advance(2 * SECOND);
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Complete));
    assert_eq!(world.worker(0).started.len(), 0);
}

/// The reported load of a pool has separate amounts for running tasks, waiting tasks and tasks of
/// overdue jobs, and includes waiting tasks only as far as the team's quota allows.
#[test]
fn loads_told() {
    let mut world = World::new(8, 1);
    for id in 0..3 {
        world.submit(job(id, steps(1, 5, 700)));
    }
    world.advance(SECOND / 10);
    let loads = world.cell().loads();
    let load = &loads["pool"];
    let eight_runs = Room {
        cpu: 32_000,
        memory: 8_000,
        gpu: 0,
    };
    assert_eq!(load.used, eight_runs);
    assert_eq!(load.waiting.cpu, 28_000);
    assert_eq!(load.arrivals["short"].jobs, 3);
    assert_eq!(load.work, 28 * 700);
}
