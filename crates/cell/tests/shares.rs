//! Team shares while the fleet is full.

mod world;

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_work::{Cap, JobId, JobState, Room, TeamWeight};
use world::{World, config, job, steps};

const SECOND: Duration = Duration::from_secs(1);

/// Number of jobs that a team may submit within the window: one per second according to its weight
/// for five seconds, plus a burst of a tenth, plus a slack of twenty.
const SHARE_LIMIT: u64 = 25;

/// A world with two teams of equal weight and no quota.
fn two_teams() -> World {
    let mut world = World::new(1, 5);
    let mut both = config();
    both.version = 2;
    let mut other = both
        .teams
        .values()
        .next()
        .expect("the configuration has a team")
        .clone();
    other.name = "other".into();
    other.weight = TeamWeight::new(1.0);
    both.teams.insert(other.name.clone(), other);
    for team in both.teams.values_mut() {
        team.cap = Cap(Room::default());
    }
    let now = world.now;
    world.cell().configure(now, Arc::new(both));
    world.advance(SECOND);
    world
}

/// Guards against callers of a small team that wait for seconds because a large team has submitted
/// three times its share to a full fleet and its jobs, which came first, all run first. Jobs beyond
/// a team's share have to wait.
#[test]
fn surge_waits() {
    let mut world = two_teams();
    for id in 0..3 * SHARE_LIMIT {
        world.submit(job(id, steps(1, 4, 700)));
    }
    world.advance(SECOND / 100);
    let mut small = job(1_000, steps(1, 4, 700));
    small.team = Some("other".into());
    world.submit(small);
    // The workers run ten jobs at a time, and each takes 0.8 s.
    world.advance(4 * SECOND);
    assert_eq!(world.state(JobId::new(1_000)), Some(JobState::Complete));
    let done = (0..3 * SHARE_LIMIT).filter(|id| {
        let state = world.state(JobId::new(*id));
        state == Some(JobState::Complete)
    });
    assert!(
        done.count() <= 2 * SHARE_LIMIT as usize,
        "jobs beyond the share did not wait"
    );
    world.advance(60 * SECOND);
    let all =
        (0..3 * SHARE_LIMIT).all(|id| world.state(JobId::new(id)) == Some(JobState::Complete));
    assert!(all, "all waiting jobs complete in the end");
    world.assert_no_violations();
}
