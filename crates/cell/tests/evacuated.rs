//! Data centres that operators evacuate.

mod world;

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_cell::Output;
use cactuswheel_model::Set;
use cactuswheel_work::{JobId, JobState, ZoneName};
use world::{World, job, lasting, steps};

const SECOND: Duration = Duration::from_secs(1);

/// A world with two workers in data centre `a` and two in `b`.
fn two_zones() -> World {
    let mut world = World::new(5, 4);
    for number in 0..4 {
        world.worker(number).zone = if number < 2 { "a" } else { "b" };
        let (now, entry) = (world.now, world.worker(number).entry());
        world.cell().register_worker(now, entry);
    }
    world.advance(SECOND);
    world
}

fn evacuate(world: &mut World, zones: &[&str]) {
    let zones: Set<ZoneName> = zones.iter().map(|z| ZoneName::from(*z)).collect();
    let now = world.now;
    world.cell().set_evacuated_zones(now, &Arc::new(zones));
}

/// Guards against starts in a data centre after its evacuation was requested.
#[test]
fn nothing_starts() {
    let mut world = two_zones();
    evacuate(&mut world, &["a", "nowhere"]);
    evacuate(&mut world, &["a", "nowhere"]);
    for id in 0..8 {
        world.submit(job(id, steps(1, 2, 500)));
        world.advance(SECOND / 10);
        assert_eq!(
            (world.worker(0).run_count(), world.worker(1).run_count()),
            (0, 0)
        );
    }
    world.advance(10 * SECOND);
    world.assert_no_violations();
    for id in 0..8 {
        let state = world.state(JobId::new(id));
        assert_eq!(
            state,
            Some(JobState::Complete),
            "the job runs in the other data centre"
        );
    }
}

/// Guards against long-running tasks that are stopped because their data centre gets no new tasks,
/// and against a data centre that gets none after its evacuation was withdrawn.
#[test]
fn what_runs_goes_on() {
    let mut world = two_zones();
    for number in 0..4 {
        world.worker(number).lasting_jobs = vec![1, 2];
    }
    evacuate(&mut world, &["a"]);
    world.submit(lasting(1, 2, 1));
    world.advance(SECOND);
    assert_eq!(
        (world.worker(2).run_count(), world.worker(3).run_count()),
        (1, 1)
    );
    evacuate(&mut world, &["b"]);
    world.advance(3 * SECOND);
    assert_eq!(
        (world.worker(2).run_count(), world.worker(3).run_count()),
        (1, 1)
    );
    evacuate(&mut world, &[]);
    world.submit(lasting(2, 4, 1));
    world.advance(SECOND);
    let counts: Vec<usize> = (0..4).map(|n| world.worker(n).run_count()).collect();
    assert_eq!(counts, [1, 1, 2, 2]);
}

/// Guards against starting a planned run that waited for the journal when the evacuation began.
#[test]
fn planned_start_dropped() {
    let mut world = two_zones();
    world.submit(job(1, steps(1, 2, 500)));
    let now = world.now.after(SECOND / 100);
    let outputs = world.cell().poll(now, now.get());
    evacuate(&mut world, &["a", "b"]);
    let cell = world.cell();
    for output in outputs {
        if let Output::Append(batch) = output {
            cell.appended(now, batch.number);
        }
    }
    let outputs = cell.poll(now, now.get());
    let starts = outputs.iter().filter(|o| matches!(o, Output::Start { .. }));
    assert_eq!(starts.count(), 0);
}
