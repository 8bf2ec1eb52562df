//! Pattern: a queue's work starts all at once on an owner with a narrow link.

mod world;

use std::time::Duration;

use cactuswheel_model::Map;
use cactuswheel_work::{JobId, JobState, Submission};
use world::{NARROW_BATCH as BATCH, World, job, lasting, steps};

const SECOND: Duration = Duration::from_secs(1);

/// What each job runs, in bytes.
const SPEC_BYTES: usize = 4_000;

fn with_large_spec(sub: Submission) -> Submission {
    Submission {
        team: None,
        spec: "x".repeat(SPEC_BYTES).into(),
        ..sub
    }
}

/// Guards against starts that fill a narrow link: renewals, looks and answers wait behind them for longer
/// than their time limits, and sound workers are given up.
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
    // The last job of a batch may go beyond it.
    assert!(
        largest <= BATCH + 4 * SPEC_BYTES,
        "{largest} bytes of orders at once"
    );
    world.advance(10 * SECOND);
    for id in 0..40 {
        let state = world.state(JobId::new(id));
        assert_eq!(state, Some(JobState::Complete), "job {id}");
    }
    world.assert_no_violations();
}

/// Guards against lasting work that waits behind short work's batches.
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

/// Guards against ends that are acknowledged only once every change is written, which on a link in full use
/// is never: workers list them again with each look.
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
        "{done} ends acknowledged, {waiting} still listed"
    );
    world.assert_no_violations();
}

/// Guards against jobs that wait for batches on a link that is not full: orders name what a job runs, and
/// batches count it all the same.
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
    assert_eq!(start_counts[1], 160, "all begin at once");
    assert!(
        start_counts[0] < 160,
        "{start_counts:?} starts in a tenth of a second"
    );
}
