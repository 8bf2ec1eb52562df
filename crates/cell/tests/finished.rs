//! Finished jobs: what is kept of them, and what a new owner needs.

mod world;

use std::time::Duration;

use cactuswheel_work::{JobId, JobState};
use world::{World, job, steps};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against callers that wait for seconds after a takeover because the new owner, on a slow
/// link, reads every submission there ever was before it starts a task. Submissions of finished
/// jobs are dropped from the intake; their journal records are enough to answer queries.
#[test]
fn submissions_dropped() {
    let mut world = World::new(1, 4);
    for id in 0..20 {
        world.submit(job(id, steps(1, 2, 300)));
    }
    world.advance(8 * SECOND);
    assert!(
        world.intake.is_empty(),
        "{} submissions left",
        world.intake.len()
    );
    world.take_over();
    world.remove_old_owners();
    world.advance(SECOND);
    for id in 0..20 {
        assert_eq!(world.state(JobId::new(id)), Some(JobState::Complete));
    }
    world.assert_no_violations();
}

/// Guards against a job that runs twice. The job is finished and its submission dropped; then a
/// late retry of the request arrives, and a new owner reads it as a new job. The journal record
/// takes precedence, before and after a takeover.
#[test]
fn late_repeat() {
    let mut world = World::new(2, 2);
    world.submit(job(1, steps(1, 2, 300)));
    world.advance(4 * SECOND);
    assert!(world.intake.is_empty());
    world.submit(job(1, steps(1, 2, 300)));
    world.advance(SECOND);
    world.take_over();
    world.remove_old_owners();
    world.advance(4 * SECOND);
    let started: usize = (0..2).map(|n| world.worker(n).started.len()).sum();
    assert_eq!(started, 2, "each task ran once");
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Complete));
    assert!(
        world.intake.is_empty(),
        "the repeated submission is dropped as well"
    );
}

/// Guards against a finished job that is reported as cancelled. The cancellation arrives when only
/// the journal record of the job is left, and would be kept as if the submission were still to
/// come.
#[test]
fn cancel_after_end() {
    let mut world = World::new(3, 2);
    world.submit(job(1, steps(1, 2, 300)));
    world.advance(4 * SECOND);
    world.cancel(JobId::new(1));
    world.advance(SECOND);
    world.take_over();
    world.remove_old_owners();
    world.advance(SECOND);
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Complete));
}

/// Guards against a store that fills up because records of finished jobs are never removed,
/// although callers no longer query them.
#[test]
fn forgotten_in_time() {
    let mut world = World::new(4, 2);
    world.submit(job(1, steps(1, 2, 300)));
    world.advance(60 * SECOND);
    assert_eq!(world.record_count(), 1);
    world.advance(120 * SECOND);
    assert_eq!(world.state(JobId::new(1)), None);
    assert_eq!(world.record_count(), 0);
}

/// Guards against a job that runs again after it was forgotten: its submission could not be dropped,
/// and a new owner finds it without a final record.
#[test]
fn submission_left() {
    let mut world = World::new(2, 2);
    world.intake_away = true;
    world.submit(job(1, steps(1, 1, 300)));
    world.advance(200 * SECOND);
    let starts = |world: &World| {
        world
            .workers
            .values()
            .map(|w| w.started.len())
            .sum::<usize>()
    };
    assert_eq!(starts(&world), 1);
    world.take_over();
    world.remove_old_owners();
    world.advance(5 * SECOND);
    assert_eq!(starts(&world), 1, "the job runs again");
    world.intake_away = false;
    world.advance(200 * SECOND);
    assert!(world.intake.is_empty());
    assert_eq!(
        world.state(JobId::new(1)),
        None,
        "the job is forgotten in the end"
    );
}

/// Guards against the same for a submission that a caller repeated after the job's end.
#[test]
fn repetition_left() {
    let mut world = World::new(2, 2);
    world.submit(job(1, steps(1, 1, 300)));
    world.advance(8 * SECOND);
    assert!(world.intake.is_empty());
    world.intake_away = true;
    world.submit(job(1, steps(1, 1, 300)));
    world.advance(200 * SECOND);
    world.take_over();
    world.remove_old_owners();
    world.advance(5 * SECOND);
    let starts = world.workers.values().map(|w| w.started.len());
    assert_eq!(starts.sum::<usize>(), 1, "the job runs again");
}
