//! Jobs with many occurrences.

mod world;

use std::time::Duration;

use cactuswheel_model::Millis;
use cactuswheel_work::{JobId, JobState, Submission};
use world::{World, job, steps};

const SECOND: Duration = Duration::from_secs(1);

/// Largest record of a small deployment's store, in bytes.
const MAX_RECORD: usize = 262_144;

/// A job of one small task that is due `times` times, all overdue at `begin`.
fn repeated(id: u64, times: u32, begin: u64) -> Submission {
    Submission {
        begin,
        interval: Millis::new(1),
        times,
        ..job(id, steps(1, 1, 20))
    }
}

/// Guards against a record that outgrows the store, which would refuse every later append, so that
/// no job of any team is started: ended occurrences take no room, over a takeover too.
#[test]
fn ended_take_no_room() {
    let mut world = World::new(6, 8);
    world.advance(SECOND);
    let begin = world.now.get();
    let sub = repeated(1, 600, begin);
    world.hand_in(Submission {
        interval: Millis::new(100),
        ..sub
    });
    world.advance(50 * SECOND);
    let half = world.record_size(JobId::new(1));
    assert!(half < 1_500, "{half} bytes");
    world.take_over();
    world.remove_old_owners();
    world.advance(60 * SECOND);
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Complete));
    assert!(world.largest_record < 1_500, "{}", world.largest_record);
    world.assert_no_violations();
}

/// Guards against occurrences that pile up in the record because none of them can start: as many
/// are open at a time as surely fit into a record, and other jobs go on.
#[test]
fn open_fit_in_record() {
    let mut world = World::new(7, 4);
    world.advance(SECOND);
    let mut sub = repeated(1, 40_000, world.now.get());
    sub.steps = steps(1, 50, 20)
        .into_iter()
        .map(|mut step| {
            step.label = Some("nowhere".into());
            step
        })
        .collect();
    world.hand_in(sub);
    world.advance(5 * SECOND);
    world.hand_in(job(2, steps(1, 2, 200)));
    world.advance(5 * SECOND);
    assert_eq!(world.state(JobId::new(2)), Some(JobState::Complete));
    assert!(
        world.largest_record < MAX_RECORD,
        "{}",
        world.largest_record
    );
    let size = world.cell().state_size();
    assert!(size < 4 << 20, "{size}");
    world.assert_no_violations();
}
