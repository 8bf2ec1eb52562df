//! Admission under overload: far more jobs are submitted than the owner's network link can start,
//! or than the workers have room for.

mod world;

use std::time::Duration;

use cactuswheel_cell::Slack;
use cactuswheel_model::Millis;
use cactuswheel_work::{JobId, JobState, Submission};
use world::{World, job, lasting, queue, steps};

const SECOND: Duration = Duration::from_secs(1);

/// Time after the last submission within which every accepted job has to be complete.
const FINISH_TIME: Duration = Duration::from_secs(14);

/// Time that a batch takes on a slow link.
const BATCH_TIME: Duration = Duration::from_millis(150);

/// Number of times per second at which jobs are submitted.
const ROUNDS_PER_SECOND: u64 = 50;

/// A world whose owner has a slow network link: appends take [`BATCH_TIME`].
fn slow_link_world(seed: u64, workers: usize) -> World {
    let mut world = World::narrow(seed, workers);
    world.store_slow = true;
    world.append_delay = BATCH_TIME;
    world
}

fn without_team(sub: Submission) -> Submission {
    Submission { team: None, ..sub }
}

/// Offers `rate` jobs per second to the cell and submits those that it admits; returns these.
fn submit_flood(world: &mut World, seconds: u64, rate: u64) -> Vec<JobId> {
    let mut accepted = Vec::new();
    for id in 0..seconds * rate {
        if id % (rate / ROUNDS_PER_SECOND) == 0 {
            world.advance(SECOND / ROUNDS_PER_SECOND as u32);
        }
        let sub = without_team(job(id, steps(1, 8, 300)));
        if world.cell().overload_delay(&sub).is_none() {
            accepted.push(sub.job);
            world.submit(sub);
        }
    }
    accepted
}

/// Guards against accepted jobs that make no progress at the end of a day, and against a burst in
/// which every job is late because none is refused.
#[test]
fn backlog_is_bounded() {
    let mut world = slow_link_world(1, 400);
    let accepted = submit_flood(&mut world, 10, 200);
    assert!(accepted.len() > 200, "{} accepted", accepted.len());
    assert!(accepted.len() < 2_000, "no job was refused");
    // After three times the objective, nearly all accepted jobs have to be complete; a job that
    // completes later is of no use.
    let objective = Duration::from_millis(300 * 16 / 10 + 600);
    world.advance(3 * objective);
    let done = accepted.iter();
    let done = done.filter(|id| world.state(**id) == Some(JobState::Complete));
    let done = done.count();
    assert!(
        done * 10 >= accepted.len() * 9,
        "{done} of {} accepted jobs complete",
        accepted.len()
    );
    world.advance(FINISH_TIME);
    for id in &accepted {
        assert_eq!(world.state(*id), Some(JobState::Complete), "job {id}");
    }
    world.assert_no_violations();
}

/// Guards against refusals although the link can carry all jobs.
#[test]
fn wide_link_takes_all() {
    let mut world = World::new(2, 400);
    world.advance(SECOND);
    let accepted = submit_flood(&mut world, 3, 100);
    assert_eq!(accepted.len(), 300);
}

/// Guards against jobs that are accepted and wait for workers until they are of no use, and against
/// the refusal of jobs that would start in time.
#[test]
fn full_pool_refuses() {
    let mut world = World::new(3, 4);
    world.advance(SECOND);
    let mut refused = 0;
    for id in 0..200 {
        let sub = without_team(job(id, steps(1, 4, 1_000)));
        match world.cell().overload_delay(&sub) {
            Some(_) => refused += 1,
            None => world.submit(sub),
        }
        world.advance(SECOND / 50);
    }
    let objective = Duration::from_millis(1_000 * 16 / 10 + 600);
    let waits = world.cell().start_delay(&"pool".into(), None);
    assert!(refused > 0, "no job was refused: {waits:?}");
    assert!(
        waits.room >= objective,
        "jobs were refused although the start delay is only {waits:?}"
    );
}

/// Guards against the refusal of valid jobs because of waiting jobs that can never run, or because
/// of the backlog of another pool.
#[test]
fn impossible_work_blocks_none() {
    let mut world = World::new(5, 2);
    world.advance(SECOND);
    for id in 0..300 {
        let mut impossible = steps(1, 4, 1_000);
        impossible[0].room.cpu = 900_000;
        world.submit(without_team(job(id, impossible)));
    }
    world.advance(SECOND);
    let valid = without_team(job(999, steps(1, 1, 1_000)));
    assert_eq!(world.cell().overload_delay(&valid), None);
    for id in 1_000..1_300 {
        let other_pool = Submission {
            service: "no-pool".into(),
            queue: "gone".into(),
            ..without_team(job(id, steps(1, 4, 1_000)))
        };
        world.submit(other_pool);
    }
    world.advance(SECOND);
    assert_eq!(world.cell().overload_delay(&valid), None);
}

/// Guards against calls that are refused as too late behind another team's jobs, which wait for
/// nothing but that team's quota while most of the pool is empty.
#[test]
fn capped_team_delays_none() {
    let mut world = World::new(6, 6);
    world.advance(SECOND);
    for id in 0..400 {
        let capped = job(id, steps(1, 15, 1_000));
        if world.cell().overload_delay(&capped).is_none() {
            world.submit(capped);
        }
        if id % 10 > 0 {
            continue;
        }
        let other = without_team(job(1_000 + id, steps(1, 4, 1_000)));
        assert_eq!(world.cell().overload_delay(&other), None, "round {id}");
        world.submit(other);
        world.advance(SECOND / 5);
        let state = world.state(JobId::new(1_000 + id));
        assert_eq!(state, Some(JobState::Running), "round {id}");
    }
    world.assert_no_violations();
}

/// Guards against jobs that are accepted and wait for their own team's quota until they are of no
/// use, while most of the pool is empty.
#[test]
fn capped_team_refused() {
    let mut world = World::new(7, 6);
    world.advance(SECOND);
    let mut accepted = Vec::new();
    for id in 0..400 {
        let capped = job(id, steps(1, 15, 1_000));
        if world.cell().overload_delay(&capped).is_none() {
            accepted.push(capped.job);
            world.submit(capped);
        }
        world.advance(SECOND / 50);
    }
    // The quota lets one job run at a time, in 0.7 s, and a job is useful for 6.6 s.
    let most = (8_000 + 6_600) / 700;
    assert!(accepted.len() <= most, "{} accepted", accepted.len());
    assert!(accepted.len() >= 8_000 / 1_000, "{}", accepted.len());
}

/// Guards against the refusal of a job that was accepted before, or of a long-running job.
#[test]
fn never_refused() {
    let mut world = World::new(4, 1);
    world.advance(SECOND);
    for id in 0..300 {
        world.submit(without_team(job(id, steps(1, 4, 1_000))));
    }
    world.advance(SECOND);
    let next = without_team(job(999, steps(1, 1, 1_000)));
    assert!(world.cell().overload_delay(&next).is_some());
    let known = without_team(job(7, steps(1, 4, 1_000)));
    assert_eq!(world.cell().overload_delay(&known), None);
    assert_eq!(world.cell().overload_delay(&lasting(1_000, 2, 1)), None);
}

#[test]
fn slack_of_job() {
    let short = job(1, steps(2, 3, 500));
    let slack = Slack::of(&short, Some(&queue())).expect("the job ends by itself");
    assert_eq!(slack.timely, Duration::from_millis(1_200));
    assert_eq!(slack.useful, Duration::from_millis(5_600));
    assert_eq!(Slack::of(&lasting(2, 1, 1), Some(&queue())), None);
    let timed = Submission {
        times: 3,
        interval: Millis::new(1_000),
        ..short
    };
    assert_eq!(Slack::of(&timed, Some(&queue())), None);
}
