//! Steps that no registered worker can run, and steps that find no free room: the jobs behind them
//! start as without them.

mod world;

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_work::{Room, Step, Submission, WorkerId};
use world::{FakeWorker, World, advised_config, job, steps};

const SECOND: Duration = Duration::from_secs(1);

/// Numbers of jobs that no worker can run. The least is the number of misses in a cycle.
const COUNTS: [u64; 3] = [24, 240, 2_400];

/// Number of workers.
const WORKERS: usize = 6;

/// Identifier of the first short job; the other jobs have lower ones.
const SHORT_JOBS: u64 = 100_000;

/// Longest time between the submission of a short job and its start, in milliseconds.
const MAX_WAIT: u64 = 200;

/// Why no worker can run a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// No worker has the step's label.
    Label,
    /// The step is larger than the largest worker.
    Size,
    /// The only worker with the label has as many of the step's tasks as its spread allows.
    Spread,
    /// The policy service permits only a worker that is too small.
    Permission,
}

const CAUSES: [Cause; 4] = [Cause::Label, Cause::Size, Cause::Spread, Cause::Permission];

fn small_room() -> Room {
    Room {
        cpu: 10,
        memory: 1,
        gpu: 0,
    }
}

/// A step of one small task.
fn small_step(lasting: bool) -> Step {
    Step {
        room: small_room(),
        lasting,
        ..steps(1, 1, 100).remove(0)
    }
}

/// A job that no worker of [`world`] can run.
fn blocked_job(id: u64, cause: Cause, lasting: bool) -> Submission {
    let mut step = small_step(lasting);
    let mut queue = "short";
    match cause {
        Cause::Label => step.label = Some("rare".into()),
        Cause::Size => step.room.cpu = 40_000,
        Cause::Spread => {
            step.label = Some("single".into());
            step.spread = 1;
            step.count = 2;
            step.room.cpu = 1;
        }
        Cause::Permission => {
            step.room.cpu = 4_000;
            queue = "advised";
        }
    }
    Submission {
        team: None,
        queue: queue.into(),
        ..job(id, vec![step])
    }
}

/// A world whose worker 0 is small, has the label `single` and is the only one permitted.
fn blocked_world(seed: u64) -> World {
    let mut world = World::new(seed, WORKERS);
    world.config = Arc::new(advised_config());
    let small = world.worker(0);
    small.room.cpu = 3_000;
    small.labels.push("single".into());
    world.permitted = vec![small.id.clone()];
    for number in 0..WORKERS {
        world.worker(number).lasting_jobs = (0..COUNTS[2]).collect();
    }
    world.take_over();
    world.remove_old_owners();
    world.advance(SECOND);
    world
}

/// When the first task of a job started.
fn start_of(world: &World, job: u64) -> Option<Time> {
    let starts = world.workers.values().flat_map(|w| &w.started);
    let starts = starts.filter(|(task, ..)| task.job().get() == job);
    starts.map(|(.., at)| *at).min()
}

/// Submits short jobs and checks that each starts at once.
fn assert_short_jobs_start(world: &mut World, first: u64, what: &str) {
    for id in first..first + 5 {
        let submitted = world.now;
        world.submit(job(id, steps(1, 1, 700)));
        world.advance(Duration::from_millis(MAX_WAIT));
        let started = start_of(world, id);
        assert!(started.is_some(), "{what}: job {id} waits");
        let waited = started.map_or(0, |at| at.since(submitted).as_millis());
        assert!(waited <= u128::from(MAX_WAIT), "{what}: {waited} ms");
    }
}

fn check_cause(cause: Cause, lasting: bool) {
    for count in COUNTS {
        let what = format!("{count} jobs, {cause:?}, lasting: {lasting}");
        let mut world = blocked_world(1);
        for id in 0..count {
            world.submit(blocked_job(id, cause, lasting));
        }
        if cause == Cause::Spread {
            // One task of each job does start, and the jobs that last go first.
            world.advance(SECOND);
        }
        assert_short_jobs_start(&mut world, SHORT_JOBS, &what);
        world.advance(SECOND);
        assert_short_jobs_start(&mut world, SHORT_JOBS + 100, &what);
    }
}

/// Guards against short jobs that wait behind long-running steps whose label no worker has.
#[test]
fn lasting_label() {
    check_cause(Cause::Label, true);
}

/// Guards against short jobs that wait behind short steps whose label no worker has.
#[test]
fn short_label() {
    check_cause(Cause::Label, false);
}

/// Guards against short jobs that wait behind long-running steps larger than every worker.
#[test]
fn lasting_size() {
    check_cause(Cause::Size, true);
}

/// Guards against short jobs that wait behind short steps larger than every worker.
#[test]
fn short_size() {
    check_cause(Cause::Size, false);
}

/// Guards against short jobs that wait behind long-running steps whose spread leaves no worker.
#[test]
fn lasting_spread() {
    check_cause(Cause::Spread, true);
}

/// Guards against short jobs that wait behind short steps whose spread leaves no worker.
#[test]
fn short_spread() {
    check_cause(Cause::Spread, false);
}

/// Guards against short jobs that wait behind long-running steps whose permitted worker is too
/// small.
#[test]
fn lasting_permission() {
    check_cause(Cause::Permission, true);
}

/// Guards against short jobs that wait behind short steps whose permitted worker is too small.
#[test]
fn short_permission() {
    check_cause(Cause::Permission, false);
}

/// Guards against the same after a takeover, whose owner reads all jobs again.
#[test]
fn blocked_at_takeover() {
    for cause in CAUSES {
        let mut world = blocked_world(2);
        for id in 0..240 {
            world.submit(blocked_job(id, cause, true));
        }
        world.advance(SECOND / 2);
        world.take_over();
        world.remove_old_owners();
        world.advance(SECOND);
        assert_short_jobs_start(&mut world, SHORT_JOBS, &format!("{cause:?}"));
    }
}

/// Registers one more worker.
fn add_worker(world: &mut World, worker: FakeWorker) {
    let (now, entry) = (world.now, worker.entry());
    world.workers.insert(worker.id.clone(), worker);
    world.cell().register_worker(now, entry);
}

/// Guards against steps that wait apart and are not looked at again when a worker that can run
/// them is registered, be it after a takeover.
#[test]
fn suited_worker_arrives() {
    for (cause, taken_over) in CAUSES.into_iter().flat_map(|c| [(c, false), (c, true)]) {
        let mut world = blocked_world(3);
        for id in 0..24 {
            world.submit(blocked_job(id, cause, true));
        }
        world.advance(5 * SECOND);
        if taken_over {
            world.take_over();
            world.remove_old_owners();
            world.advance(SECOND);
        }
        let before = world
            .workers
            .values()
            .map(|w| w.started.len())
            .sum::<usize>();
        let mut worker = FakeWorker::new(WORKERS, world.now);
        worker.room.cpu = 2_000_000;
        worker.labels.extend(["rare".into(), "single".into()]);
        worker.lasting_jobs = (0..COUNTS[2]).collect();
        world.permitted.push(worker.id.clone());
        add_worker(&mut world, worker);
        world.advance(SECOND / 4);
        let after = world
            .workers
            .values()
            .map(|w| w.started.len())
            .sum::<usize>();
        assert_eq!(after - before, 24, "{cause:?}, taken over: {taken_over}");
    }
}

/// Guards against steps that wait apart and are not looked at again when their queue gets another
/// pool, or when the label is added to a worker that was registered without it.
#[test]
fn suited_by_change() {
    for by_config in [false, true] {
        let mut world = blocked_world(4);
        let mut worker = FakeWorker::new(WORKERS, world.now);
        worker.service = "other";
        worker.labels.push("rare".into());
        worker.lasting_jobs = (0..24).collect();
        let other = worker.id.clone();
        add_worker(&mut world, worker);
        for id in 0..24 {
            world.submit(blocked_job(id, Cause::Label, true));
        }
        world.advance(3 * SECOND);
        let now = world.now;
        let changed = match by_config {
            true => {
                let mut config = advised_config();
                config.version += 1;
                for queue in config.queues.values_mut() {
                    queue.service = "other".into();
                }
                world.cell().configure(now, Arc::new(config));
                other
            }
            false => {
                world.worker(1).labels.push("rare".into());
                let entry = world.worker(1).entry();
                world.cell().register_worker(now, entry);
                WorkerId::from("w1")
            }
        };
        world.advance(SECOND / 4);
        assert_eq!(world.workers[&changed].run_count(), 24, "{by_config}");
    }
}

/// Guards against jobs that are never looked at because those before them find no free room. The
/// only worker with the label is full; all other workers are empty.
#[test]
fn behind_full_worker() {
    for count in COUNTS {
        let mut world = blocked_world(5);
        for id in 0..count {
            let mut sub = blocked_job(id, Cause::Spread, true);
            let mut step = sub.steps[0].clone();
            step.spread = 0;
            step.room.cpu = 3_000;
            sub.steps = vec![step].into();
            world.submit(sub);
        }
        world.advance(SECOND);
        let short = 5;
        for id in SHORT_JOBS..SHORT_JOBS + short {
            world.submit(job(id, steps(1, 1, 700)));
        }
        world.advance(2 * SECOND);
        let started = (SHORT_JOBS..SHORT_JOBS + short).filter(|id| start_of(&world, *id).is_some());
        assert_eq!(started.count() as u64, short, "{count} jobs");
    }
}

/// Guards against jobs that are never looked at because the steps before them are spread over
/// workers that are full: each of those steps has to be examined by itself.
#[test]
fn behind_spread_steps() {
    let mut world = blocked_world(6);
    world.worker(0).labels.push("pair".into());
    world.worker(1).labels.push("pair".into());
    world.worker(1).room.cpu = 3_000;
    for number in [0, 1] {
        let (now, entry) = (world.now, world.worker(number).entry());
        world.cell().register_worker(now, entry);
    }
    for id in 0..240 {
        let mut sub = blocked_job(id, Cause::Spread, true);
        let mut step = sub.steps[0].clone();
        step.label = Some("pair".into());
        step.room.cpu = 2_000;
        sub.steps = vec![step].into();
        world.submit(sub);
    }
    world.advance(SECOND);
    world.submit(job(SHORT_JOBS, steps(1, 1, 700)));
    world.advance(SECOND);
    assert!(
        start_of(&world, SHORT_JOBS).is_some(),
        "the short job waits"
    );
}

/// Guards against jobs that are never looked at because the team of those before them has used up
/// its quota, and against cycles that walk all of these.
#[test]
fn behind_used_quota() {
    let mut world = blocked_world(7);
    for id in 0..COUNTS[2] {
        let mut step = small_step(true);
        step.room.cpu = 30_000;
        world.submit(job(id, vec![step]));
    }
    world.advance(SECOND);
    let short = Submission {
        team: None,
        ..job(SHORT_JOBS, steps(1, 1, 700))
    };
    world.submit(short);
    world.advance(2 * SECOND);
    assert!(
        start_of(&world, SHORT_JOBS).is_some(),
        "the short job waits"
    );
}
