//! Workers that get no tasks for a time: waiting tasks start when that time is over, although nothing
//! else happens in the cell.

mod world;

use std::time::Duration;

use cactuswheel_work::{JobId, JobState};
use world::{World, job, steps};

/// Time in which a waiting task starts once a worker is open again.
const START_TIME: Duration = Duration::from_millis(500);

fn idle_world(workers: usize) -> World {
    let mut world = World::new(3, workers);
    world.advance(Duration::from_secs(1));
    world
}

/// Number of start orders that workers carried out.
fn starts(world: &World) -> usize {
    world.workers.values().map(|w| w.started.len()).sum()
}

/// Guards against a job that stands still beside idle workers because its start orders were not
/// sent, until some other job comes.
#[test]
fn unsent_starts() {
    let mut world = idle_world(3);
    world.starts_unsent = true;
    world.submit(job(1, steps(1, 1, 500)));
    world.advance(Duration::from_millis(400));
    assert_eq!(starts(&world), 0);
    world.starts_unsent = false;
    world.advance(START_TIME);
    assert_eq!(starts(&world), 1, "the job waits beside idle workers");
    world.advance(Duration::from_secs(2));
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Complete));
}

/// Guards against start orders that are given, not sent and planned anew for one worker after the
/// other while the ownership is not confirmed.
#[test]
fn held_starts() {
    let mut world = idle_world(3);
    world.cell().hold_starts(true);
    world.submit(job(1, steps(1, 1, 500)));
    world.advance(Duration::from_millis(400));
    assert_eq!(world.sent_starts.len(), 0);
    world.cell().hold_starts(false);
    world.advance(Duration::from_millis(20));
    let runs = world.workers.values().flat_map(|w| &w.started);
    let runs: Vec<u32> = runs.map(|(_, run, _)| *run).collect();
    assert_eq!(runs, [1], "the first plan is carried out");
}

/// Guards against a cancelled job that starts when held start orders are sent.
#[test]
fn cancelled_while_held() {
    let mut world = idle_world(3);
    world.cell().hold_starts(true);
    world.submit(job(1, steps(1, 1, 500)));
    world.advance(Duration::from_millis(100));
    world.cancel(JobId::new(1));
    world.advance(Duration::from_millis(100));
    world.cell().hold_starts(false);
    world.advance(Duration::from_millis(100));
    assert_eq!(starts(&world), 0);
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Cancelled));
}

/// Guards against jobs that stand still after a worker was paused for failed runs.
#[test]
fn paused_worker() {
    let mut world = idle_world(1);
    world.worker(0).failing = true;
    world.submit(job(1, steps(1, 1, 500)));
    world.submit(job(2, steps(1, 1, 500)));
    world.advance(Duration::from_millis(1_200));
    world.worker(0).failing = false;
    world.advance(Duration::from_secs(6));
    for id in [1, 2] {
        let state = world.state(JobId::new(id));
        assert_eq!(state, Some(JobState::Complete), "job {id}");
    }
}

/// Guards against a job that stands still on a worker that was fenced off after the unanswered start
/// order of another.
#[test]
fn fenced_off_worker() {
    let mut world = idle_world(1);
    world.worker(0).work_ms = 20_000;
    world.start_answers_lost = true;
    world.poll_delay = Duration::from_millis(200);
    world.submit(job(1, steps(1, 1, 20_000)));
    // The order is given up 500 ms after it was sent; the worker then answers its next poll.
    world.advance(Duration::from_millis(620));
    world.start_answers_lost = false;
    world.submit(job(2, steps(1, 1, 20_000)));
    world.advance(START_TIME);
    assert_eq!(starts(&world), 2, "the second job waits beside free room");
}

/// Guards against a job that stands still because it came while the answer to a poll was so late
/// that its worker got no tasks, though not so late that the poll had failed.
#[test]
fn late_answer() {
    for ms in (0..3_400).step_by(50) {
        let mut world = idle_world(1);
        world.max_wait = Duration::from_secs(2);
        world.poll_delay = Duration::from_millis(1_350);
        world.advance(Duration::from_secs(4) + Duration::from_millis(ms));
        world.submit(job(1, steps(1, 1, 500)));
        world.advance(START_TIME);
        assert_eq!(
            starts(&world),
            1,
            "the job of {ms} ms waits beside an idle worker"
        );
    }
}
