//! Checkpoints of gangs.

mod world;

use std::time::Duration;

use cactuswheel_model::Set;
use world::{World, job, steps};

const SECOND: Duration = Duration::from_secs(1);

/// A world in which a gang of three has run on a worker each, and one of these has lost power.
fn broken_gang() -> World {
    let mut world = World::new(1, 4);
    for number in 0..4 {
        world.worker(number).checkpoints = true;
        world.worker(number).work_ms = 60_000;
    }
    let mut steps = steps(1, 3, 60_000);
    steps[0].gang = true;
    steps[0].resumable = true;
    steps[0].spread = 1;
    world.submit(job(1, steps));
    world.advance(2 * SECOND);
    let lost = (0..4).find(|&n| world.worker(n).run_count() == 1);
    world.worker(lost.expect("the gang runs")).up = false;
    world
}

/// The checkpoints that the starts of a run carried.
fn carried(world: &World, run: u32) -> Vec<&str> {
    let starts = world.sent_checkpoints.iter();
    let starts = starts.filter(|(_, r, _)| *r == run);
    starts.map(|(.., value)| value.as_str()).collect()
}

fn assert_one_value(world: &World, run: u32) {
    let values = carried(world, run);
    let distinct: Set<&str> = values.iter().copied().collect();
    assert_eq!(values.len(), 3, "all members start: {values:?}");
    assert_eq!(distinct.len(), 1, "one value for the gang: {values:?}");
    assert!(!values[0].is_empty(), "the work is not lost");
}

/// Guards against a gang whose members resume from different points after the crash of one of
/// their workers: all must carry the same checkpoint.
#[test]
fn one_value() {
    let mut world = broken_gang();
    world.advance(8 * SECOND);
    assert_one_value(&world, 2);
}

/// Guards against members with different checkpoints after a change of owners between the plan of
/// the gang's run and its start orders.
#[test]
fn owner_changes() {
    let mut world = broken_gang();
    world.store_slow = true;
    let before = world.sent_checkpoints.len();
    let planned = |w: &mut World| w.cell().job(cactuswheel_work::JobId::new(1));
    for _ in 0..1_200 {
        world.advance(SECOND / 100);
        let runs = planned(&mut world).map(|j| j.runs).unwrap_or_default();
        if runs.iter().filter(|r| r.run == 2).count() == 3 {
            break;
        }
    }
    assert_eq!(world.sent_checkpoints.len(), before, "planned, not ordered");
    world.take_over();
    world.remove_old_owners();
    world.store_slow = false;
    world.advance(4 * SECOND);
    assert_one_value(&world, 3);
}
