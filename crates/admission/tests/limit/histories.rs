//! Random histories generated from a seed, with all faults of the simulated fleet.

use crate::world::World;
use cactuswheel_model::Holding;
use cactuswheel_testkit::check;
use quickcheck::{Arbitrary, Gen};

/// The seed of a history. Seeds are not shrunk, since a smaller seed is not a simpler history.
#[derive(Debug, Clone)]
struct History(u64);

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(u64::arbitrary(g))
    }
}

fn run(seed: u64, steps: usize) -> Result<World, String> {
    let mut world = World::new(seed, 6);
    for step in 0..steps {
        world
            .step()
            .map_err(|e| format!("history {seed}, step {step}: {e}"))?;
    }
    Ok(world)
}

#[test]
fn never_over() {
    // Callers saturate every entry. Entries are killed and replaced, paused and resumed late, cut
    // off from the log alone or with their data centre; records arrive late, twice, out of order
    // or never; responses are lost while the request continues to run; the limit changes. The
    // number of requests running at the upstreams must never exceed the team's limit.
    check(
        41,
        100,
        (|h| run(h.0, 8_000).map(drop)) as fn(History) -> Result<(), String>,
    );
}

#[test]
fn heals_whole() {
    // Once the faults of such a history end, the whole limit must be allotted again, and only to
    // lives that still run.
    let property = |h: History| run(h.0, 2_000)?.check_recovery();
    check(42, 30, property as fn(History) -> Result<(), String>);
}

#[test]
fn fences_itself() {
    let mut world = run(7, 500).unwrap();
    assert!(world.refuses_when_fenced());
}

#[test]
fn histories_bite() {
    // Guards against vacuous tests: the properties above would also hold if no request started or
    // no life was freed.
    let mut world = run(43, 60_000).unwrap();
    assert!(world.ran > 500, "{} requests ran", world.ran);
    assert!(world.freed > 10, "{} lives freed", world.freed);
    world.check_recovery().unwrap();
    assert!(world.records(|h| matches!(h, Holding::Usage { .. })) > 10);
    assert!(world.records(|h| matches!(h, Holding::Witness { cut: true, .. })) > 0);
    assert!(world.records(|h| matches!(h, Holding::Witness { cut: false, .. })) > 0);
    assert!(world.records(|h| matches!(h, Holding::Revoke { .. })) > 0);
}
