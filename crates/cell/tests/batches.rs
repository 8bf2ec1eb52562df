//! Many jobs of a queue start at the same time while the owner has a slow network link.

mod world;

use std::time::Duration;

use cactuswheel_model::Map;
use cactuswheel_work::{JobId, JobState, Submission};
use world::{NARROW_BATCH as BATCH, World, job, lasting, steps};

const SECOND: Duration = Duration::from_secs(1);

/// Size of a job's spec in bytes.
const SPEC_BYTES: usize = 4_000;

/// Gives a job a large spec and removes its team, so that no quota applies.
fn with_large_spec(sub: Submission) -> Submission {
    Submission {
        team: None,
        spec: "x".repeat(SPEC_BYTES).into(),
        ..sub
    }
}

/// Guards against start orders that saturate a slow link. Lease renewals, polls and answers would
/// queue behind them for longer than their timeouts, and the runs of healthy workers would be
/// abandoned.
#[test]
fn starts_within_budget() {
    let mut world = World::narrow(1, 20);
    for id in 0..40 {
        world.submit(with_large_spec(job(id, steps(1, 4, 700))));
    }
    world.advance(SECOND);
    let mut sent: Map<u64, usize> = Map::default();
    for (at, _) in &world.sent_starts {
        *sent.entry(at.get()).or_default() += SPEC_BYTES;
    }
    let largest = sent.values().max().copied().unwrap_or_default();
    // The last job of a batch may exceed the limit.
    assert!(
        largest <= BATCH + 4 * SPEC_BYTES,
        "{largest} bytes of start orders at once"
    );
    world.advance(10 * SECOND);
    for id in 0..40 {
        let state = world.state(JobId::new(id));
        assert_eq!(state, Some(JobState::Complete), "job {id}");
    }
    world.assert_no_violations();
}

/// Guards against long-running jobs that wait behind batches of short jobs.
#[test]
fn lasting_goes_first() {
    let mut world = World::narrow(2, 20);
    for number in 0..20 {
        world.worker(number).lasting_jobs = vec![99];
    }
    for id in 0..40 {
        world.submit(with_large_spec(job(id, steps(1, 4, 700))));
    }
    world.submit(with_large_spec(lasting(99, 2, 1)));
    world.advance(SECOND / 10);
    let first = world.sent_starts.iter().take(2);
    let first: Vec<u64> = first.map(|(_, t)| t.job().get()).collect();
    assert_eq!(first, [99, 99]);
}

/// Guards against end records that are acknowledged only once all changes are in the journal. On a
/// saturated link this never happens, and workers would list the records again with every poll.
#[test]
fn acks_flow() {
    let mut world = World::narrow(3, 20);
    world.store_slow = true;
    world.append_delay = Duration::from_millis(150);
    for id in 0..250 {
        world.submit(with_large_spec(job(id, steps(1, 4, 700))));
        world.advance(SECOND / 50);
    }
    let done: usize = world.workers.values().map(|w| w.acknowledged.len()).sum();
    let waiting: usize = world.workers.values().map(|w| w.unacknowledged()).sum();
    assert!(
        done >= waiting,
        "{done} end records acknowledged, {waiting} still listed"
    );
    world.assert_no_violations();
}

/// Guards against jobs that wait for a batch although the link is not saturated: start orders are
/// sent without the spec, but batches would still count its size.
#[test]
fn named_specs_are_small() {
    let start_counts = [false, true].map(|named| {
        let mut world = World::narrow(4, 20);
        world.cell().omit_specs(named);
        for id in 0..40 {
            world.submit(with_large_spec(job(id, steps(1, 4, 700))));
        }
        world.advance(SECOND / 10);
        world.sent_starts.len()
    });
    assert_eq!(start_counts[1], 160, "all tasks start at once");
    assert!(
        start_counts[0] < 160,
        "{start_counts:?} starts within 0.1 s"
    );
}
