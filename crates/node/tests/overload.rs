//! Jobs that a front end refuses without asking the owner.

use std::time::Duration;

use cactuswheel_cell::{Slack, StartDelay};
use cactuswheel_model::Time;
use cactuswheel_node::{Overload, outage_excess};
use cactuswheel_work::{ServiceName, TeamName};

const NOW: Time = Time::new(50_000);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Slack of a job that runs for 1 s and has an objective of 2.2 s.
const SLACK: Slack = Slack {
    timely: ms(1_200),
    useful: ms(5_600),
};

fn pool() -> ServiceName {
    "pool".into()
}

/// Jobs are refused while the reported waits last and not longer. Otherwise callers would be
/// refused after the owner's backlog is gone, or the owner would receive every job that it will
/// refuse.
#[test]
fn told_waits_pass() {
    let overload = Overload::default();
    let excess = |at| overload.excess(at, &pool(), None, SLACK);
    assert_eq!(excess(NOW), None);
    let waits = StartDelay {
        link: ms(3_000),
        room: ms(1_000),
    };
    overload.learn(NOW, &pool(), None, waits);
    assert_eq!(excess(NOW), Some(ms(1_800)));
    assert_eq!(excess(NOW.after(ms(1_000))), Some(ms(800)));
    assert_eq!(excess(NOW.after(ms(1_800))), None);
}

/// Guards against jobs that are refused, while the owner does not answer, for the lack of room of
/// another service or of another team's quota.
#[test]
fn rooms_kept_apart() {
    let overload = Overload::default();
    let team = TeamName::from("team");
    let waits = StartDelay {
        link: ms(0),
        room: ms(9_000),
    };
    overload.learn(NOW, &pool(), Some(&team), waits);
    let excess = |service: ServiceName, team| overload.excess(NOW, &service, team, SLACK);
    assert_eq!(excess(pool(), Some(&team)), Some(ms(3_400)));
    let other = TeamName::from("other");
    assert_eq!(excess(pool(), Some(&other)), None);
    assert_eq!(excess(pool(), None), None);
    assert_eq!(excess("other".into(), Some(&team)), None);
}

/// A job is not refused for lack of room while it can still start in time to be useful.
#[test]
fn room_is_a_bound() {
    let waits = |room| StartDelay {
        link: ms(0),
        room: ms(room),
    };
    assert_eq!(waits(5_600).excess(SLACK), None);
    assert_eq!(waits(6_000).excess(SLACK), Some(ms(400)));
}

/// Jobs are refused during a long outage of the owner, when hundreds would otherwise be accepted
/// that never run, but not during a takeover that takes no longer than usual.
#[test]
fn silence_is_bounded() {
    let usual = ms(2_300);
    assert_eq!(outage_excess(ms(0), usual, SLACK), None);
    assert_eq!(outage_excess(ms(3_500), usual, SLACK), None);
    assert_eq!(outage_excess(ms(9_000), usual, SLACK), Some(ms(5_500)));
}
