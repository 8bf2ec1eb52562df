//! Pattern: a queue's work starts all at once on an owner with a narrow link.

mod world;

use std::time::Duration;

use cactuswheel_model::Map;
use cactuswheel_work::{JobId, JobState, Submission};
use world::{NARROW_BATCH as BATCH, World, job, lasting, steps};

const SECOND: Duration = Duration::from_secs(1);

/// What each job runs, in bytes.
const SPEC: usize = 4_000;

fn large(sub: Submission) -> Submission {
    Submission {
        team: None,
        spec: "x".repeat(SPEC).into(),
        ..sub
    }
}

/// Guards against starts that fill a narrow link: renewals, looks and answers wait behind them for longer
/// than their time limits, and sound workers are given up.
#[test]
fn starts_within_budget() {
    let mut world = World::narrow(1, 20);
    for id in 0..40 {
        world.submit(large(job(id, steps(1, 4, 700))));
    }
    world.run(SECOND);
    let mut sent: Map<u64, usize> = Map::default();
    for (at, _) in &world.ordered {
        *sent.entry(at.get()).or_default() += SPEC;
    }
    let most = sent.values().max().copied().unwrap_or_default();
    // The last job of a batch may go beyond it.
    assert!(most <= BATCH + 4 * SPEC, "{most} bytes of orders at once");
    world.run(10 * SECOND);
    for id in 0..40 {
        let state = world.state(JobId::new(id));
        assert_eq!(state, Some(JobState::Complete), "job {id}");
    }
    world.assert_clean();
}

/// Guards against lasting work that waits behind short work's batches.
#[test]
fn lasting_goes_first() {
    let mut world = World::narrow(2, 20);
    for number in 0..20 {
        world.worker(number).lasting = vec![99];
    }
    for id in 0..40 {
        world.submit(large(job(id, steps(1, 4, 700))));
    }
    world.submit(large(lasting(99, 2, 1)));
    world.run(SECOND / 10);
    let first = world.ordered.iter().take(2);
    let first: Vec<u64> = first.map(|(_, t)| t.job().get()).collect();
    assert_eq!(first, [99, 99]);
}

/// Guards against ends that are acknowledged only once every change is written, which on a link in full use
/// is never: workers list them again with each look.
#[test]
fn acks_flow() {
    let mut world = World::narrow(3, 20);
    world.store_down = true;
    world.outage = Duration::from_millis(150);
    for id in 0..250 {
        world.submit(large(job(id, steps(1, 4, 700))));
        world.run(SECOND / 50);
    }
    let done: usize = world.workers.values().map(|w| w.acknowledged.len()).sum();
    let waiting: usize = world.workers.values().map(|w| w.listed()).sum();
    assert!(
        done >= waiting,
        "{done} ends acknowledged, {waiting} still listed"
    );
    world.assert_clean();
}

/// Guards against jobs that wait for batches on a link that is not full: orders name what a job runs, and
/// batches count it all the same.
#[test]
fn named_specs_are_small() {
    let begun = [false, true].map(|named| {
        let mut world = World::narrow(4, 20);
        world.cell().omit_specs(named);
        for id in 0..40 {
            world.submit(large(job(id, steps(1, 4, 700))));
        }
        world.run(SECOND / 10);
        world.ordered.len()
    });
    assert_eq!(begun[1], 160, "all begin at once");
    assert!(begun[0] < 160, "{begun:?} starts in a tenth of a second");
}
