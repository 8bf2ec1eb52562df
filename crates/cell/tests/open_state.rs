//! The size of the open jobs' state is limited.

mod world;

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_cell::{Cell, OpenState, StateLimits, encode, new_job_size};
use cactuswheel_model::{Millis, Time};
use cactuswheel_work::{JobId, JobState, Submission, TeamName};
use world::{World, bounds, config, job, steps};

const SECOND: Duration = Duration::from_secs(1);
const MIB: u64 = 1 << 20;

/// A job that is due once, at `begin`, in milliseconds since 1970.
fn timed(id: u64, chain: u32, begin: u64) -> Submission {
    Submission {
        begin,
        interval: Millis::new(1_000),
        times: 1,
        ..job(id, steps(chain, 1, 500))
    }
}

fn team(name: &str) -> Option<TeamName> {
    Some(name.into())
}

/// Guards against one team that uses the limit up, so that all others are refused: beyond its share
/// it is refused while a team within its share is still served.
#[test]
fn team_beyond_share() {
    let limits = StateLimits::of_memory(240 * MIB);
    assert_eq!(limits.accept, 80 * MIB);
    let (greedy, modest) = (team("greedy"), team("modest"));
    let mut state = OpenState::default();
    let greedy_room = |s: &OpenState| s.room(&limits, greedy.as_ref(), 0.5).get();
    assert_eq!(greedy_room(&state), 60 * MIB);
    state.replace(greedy.as_ref(), 0, 59 * MIB);
    assert_eq!(greedy_room(&state), MIB);
    state.replace(greedy.as_ref(), 0, MIB);
    assert_eq!(greedy_room(&state), 0);
    assert_eq!(state.room(&limits, modest.as_ref(), 0.5).get(), 20 * MIB);
    assert_eq!(state.room(&limits, None, 0.0).get(), 0);
    state.replace(modest.as_ref(), 0, 20 * MIB);
    assert_eq!(state.room(&limits, modest.as_ref(), 0.5).get(), 0);
    state.replace(greedy.as_ref(), 60 * MIB, 0);
    assert_eq!(state.used(), 20 * MIB);
    assert_eq!(greedy_room(&state), 40 * MIB);
}

/// Guards against a state that is accepted and that no other node takes over: what is accepted
/// stays below what accepted jobs may grow to, and that below what a node takes over.
#[test]
fn margins() {
    for memory in [160, 260, 512] {
        let limits = StateLimits::of_memory(memory * MIB);
        assert!(limits.accept + 20 * MIB < limits.grow);
        assert!(limits.grow + 15 * MIB < limits.takeover);
        assert!(limits.takeover + 60 * MIB < memory * MIB);
    }
}

/// Guards against a size that goes wrong as jobs come and go: a successor counts the same jobs, and
/// when all are done nothing is left.
#[test]
fn counts_to_nothing() {
    let mut world = World::new(3, 4);
    world.advance(SECOND);
    for id in 1..6 {
        world.hand_in(job(id, steps(2, 3, 500)));
    }
    world.submit(job(6, steps(2, 3, 500)));
    world.advance(SECOND / 5);
    let size = world.cell().state_size();
    assert!(size > 6 * 1_000, "{size}");
    world.take_over();
    world.remove_old_owners();
    let again = world.cell().state_size();
    assert!(again > 6 * 1_000, "{again}");
    world.advance(20 * SECOND);
    for id in 1..7 {
        assert_eq!(world.state(JobId::new(id)), Some(JobState::Complete));
    }
    assert_eq!(world.cell().state_size(), 0);
    world.assert_no_violations();
}

/// Guards against a cell that outgrows every node: a large job that isn't due counts with its
/// encoded size only, and occurrences for which the state has no room wait until others are done.
#[test]
fn due_together() {
    let mut world = World::new(4, 4);
    world.advance(SECOND);
    let begin = world.now.get() + 2_000;
    for id in 1..4 {
        world.submit(timed(id, 400, begin));
    }
    world.submit(timed(4, 1, begin));
    world.advance(SECOND);
    let sub = timed(1, 400, begin);
    let encoded = encode(&sub).len();
    let packed = new_job_size(&sub, encoded);
    assert!(packed < encoded as u64 + 2_000);
    let before = world.cell().state_size();
    assert!(before < 4 * packed, "{before}");
    let one_begun = before + new_job_size(&job(9, steps(400, 1, 500)), encoded);
    world.cell().limit_state(StateLimits {
        accept: before,
        grow: one_begun,
        takeover: one_begun,
    });
    world.advance(3 * SECOND);
    let states: Vec<_> = (1..5).map(|id| world.state(JobId::new(id))).collect();
    let running = states.iter().filter(|s| **s == Some(JobState::Running));
    assert_eq!(running.count(), 1, "{states:?}");
    assert_eq!(
        states[3],
        Some(JobState::Complete),
        "a small one still fits"
    );
    let first = (1..4).find(|id| world.state(JobId::new(*id)) == Some(JobState::Running));
    world.cancel(JobId::new(first.expect("one runs")));
    world.advance(3 * SECOND);
    let states: Vec<_> = (1..4).map(|id| world.state(JobId::new(id))).collect();
    assert!(states.contains(&Some(JobState::Running)), "{states:?}");
    world.assert_no_violations();
}

/// Guards against a large job that loses its steps while it waits for its time, over a takeover.
#[test]
fn runs_when_due() {
    let mut world = World::new(5, 4);
    world.advance(SECOND);
    let begin = world.now.get() + 3_000;
    let mut sub = timed(1, 1, begin);
    let parallel = steps(300, 1, 100).into_iter().map(|mut step| {
        step.after.clear();
        step
    });
    sub.steps = parallel.collect();
    world.hand_in(sub);
    world.advance(SECOND);
    world.take_over();
    world.remove_old_owners();
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Queued));
    world.advance(60 * SECOND);
    assert_eq!(world.state(JobId::new(1)), Some(JobState::Complete));
    assert_eq!(world.cell().state_size(), 0);
    world.assert_no_violations();
}

/// Guards against a front end that stores what the owner would refuse: both find the same size.
#[test]
fn same_size() {
    let sub = timed(1, 500, 5_000_000);
    let size = new_job_size(&sub, encode(&sub).len());
    let mut cell = Cell::new(bounds(), 1, config().into());
    cell.submit(Time::new(1_000_000), sub, Duration::ZERO);
    assert_eq!(cell.state_size(), size);
    let plain = job(2, steps(20, 5, 500));
    let other = new_job_size(&plain, encode(&plain).len());
    cell.submit(Time::new(1_000_000), plain, Duration::ZERO);
    assert_eq!(cell.state_size(), size + other);
}

/// Guards against timed jobs that never begin because the occurrences of another team, which nobody
/// can run, have used up what accepted jobs may grow to.
#[test]
fn growth_beyond_share() {
    let mut world = World::new(6, 4);
    let mut both = config();
    let mut greedy = both.teams.values().next().expect("a team").clone();
    greedy.name = "greedy".into();
    both.teams.insert(greedy.name.clone(), greedy);
    world.config = Arc::new(both);
    world.take_over();
    world.remove_old_owners();
    world.advance(SECOND);
    let begin = world.now.get() + 2_000;
    for id in 1..=40 {
        let mut sub = timed(id, 20, begin);
        sub.team = team("greedy");
        let hopeless = sub.steps.iter().cloned().map(|mut step| {
            step.label = Some("none".into());
            step
        });
        sub.steps = hopeless.collect();
        world.submit(sub);
    }
    for id in 41..=44 {
        world.submit(timed(id, 2, begin + 2_000));
    }
    world.advance(SECOND);
    let before = world.cell().state_size();
    world.cell().limit_state(StateLimits {
        accept: before,
        grow: before + before / 2,
        takeover: 2 * before,
    });
    world.advance(2 * SECOND);
    let grown = world.cell().state_size();
    world.advance(10 * SECOND);
    for id in 41..=44 {
        let state = world.state(JobId::new(id));
        assert_eq!(state, Some(JobState::Complete), "{before}, {grown} bytes");
    }
    assert!(grown > before, "{before}, {grown} bytes");
    world.assert_no_violations();
}
