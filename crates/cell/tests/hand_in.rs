//! Jobs that are handed in to the owner directly, without the intake.

mod world;

use std::time::Duration;

use cactuswheel_cell::Standing;
use cactuswheel_cell::{HandIn, Output, encode};
use cactuswheel_work::{JobId, JobState};
use world::{World, job, steps};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a job that waits for more than one append before it starts, when an append to the
/// store takes 0.25 s. The submission and the first starts go into one batch, and before its append
/// is confirmed no start order is sent and the job is not accepted.
#[test]
fn one_append() {
    let mut world = World::new(1, 2);
    world.advance(SECOND);
    let now = world.now;
    let sub = job(1, steps(1, 2, 500));
    let cell = world.cell();
    assert_eq!(
        cell.hand_in(now, sub.clone(), encode(&sub)),
        HandIn::Journaling
    );
    let outputs = cell.poll(now, now.get());
    let batch = outputs.into_iter().find_map(|o| match o {
        Output::Append(batch) => Some(batch),
        Output::Start { .. } | Output::Accepted(_) => panic!("output before the job is journaled"),
        _ => None,
    });
    let batch = batch.expect("the job is written to the journal");
    assert_eq!(batch.submissions, [(JobId::new(1), Some(encode(&sub)))]);
    assert_eq!(
        cell.hand_in(now, sub.clone(), encode(&sub)),
        HandIn::Journaling
    );
    let other = job(2, steps(1, 1, 500));
    assert_eq!(
        cell.hand_in(now, other.clone(), encode(&other)),
        HandIn::Busy
    );
    assert_eq!(
        cell.state(JobId::new(2)),
        None,
        "the job can still be refused"
    );
    cell.appended(now, batch.number);
    let outputs = cell.poll(now, now.get());
    let starts = outputs.iter().filter(|o| matches!(o, Output::Start { .. }));
    assert_eq!(starts.count(), 2);
    assert!(outputs.contains(&Output::Accepted(vec![JobId::new(1)])));
    assert_eq!(
        cell.hand_in(now, sub.clone(), encode(&sub)),
        HandIn::Accepted
    );
}

/// Guards against a job that is lost in a takeover because it was never in the intake.
#[test]
fn outlives_its_owner() {
    let mut world = World::new(2, 2);
    world.advance(SECOND);
    world.hand_in(job(1, steps(2, 2, 500)));
    world.advance(SECOND / 10);
    assert_eq!(world.accepted, [JobId::new(1)]);
    world.take_over();
    world.remove_old_owners();
    world.advance(8 * SECOND);
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Complete));
    assert!(
        world.journaled_subs.is_empty(),
        "the submission is dropped with the job's last record"
    );
    world.assert_no_violations();
}

/// Guards against a submission that stays in the journal forever because the job was cancelled
/// before anything of it was journaled.
#[test]
fn cancelled_at_once() {
    let mut world = World::new(3, 2);
    world.advance(SECOND);
    world.cancel(JobId::new(1));
    world.hand_in(job(1, steps(1, 2, 500)));
    world.advance(SECOND);
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Cancelled));
    assert!(world.journaled_subs.is_empty());
    world.assert_no_violations();
}

/// Guards against a job that is lost after its caller was told that it is accepted: an owner that
/// cannot reach the store knows the job but has not written it.
#[test]
fn unwritten_is_pending() {
    let mut world = World::new(4, 2);
    world.advance(SECOND);
    let id = JobId::new(1);
    assert_eq!(world.cell().standing(id), Standing::Unknown);
    world.store_slow = true;
    world.hand_in(job(1, steps(1, 2, 500)));
    world.advance(SECOND / 10);
    assert_eq!(world.cell().standing(id), Standing::Pending);
    world.advance(4 * SECOND);
    assert_eq!(world.cell().standing(id), Standing::Stored);
    world.advance(30 * SECOND);
    assert_eq!(
        world.cell().standing(id),
        Standing::Stored,
        "the job is finished"
    );
}
