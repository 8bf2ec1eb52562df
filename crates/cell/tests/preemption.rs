//! Preemption: runs are stopped so that timely work within its team's share starts in time.

mod world;

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_cell::PreemptPolicy;
use cactuswheel_model::Time;
use cactuswheel_work::{Cap, JobId, JobState, Room, Submission, TeamWeight};
use world::{World, config, job, lasting, steps};

const SECOND: Duration = Duration::from_secs(1);

/// Number of jobs that a team may submit within the share's window.
const SHARE_LIMIT: u64 = 25;

/// The job that waits.
const WAITING: u64 = 1_000;

/// Latest start of the waiting job, whose estimate is 700 ms: it may take 1.6 times that and
/// 600 ms.
const LATEST: Duration = Duration::from_millis(1_020);

/// Run time of the runs that fill the pool, in milliseconds.
const LONG_MS: u64 = 8_000;

fn policy() -> PreemptPolicy {
    PreemptPolicy {
        enabled: true,
        lost_percent_per_s: 50,
        ..PreemptPolicy::default()
    }
}

/// A world of five workers, each with room for eight runs, and two teams without quota; the share
/// of `team` is used up.
fn world(policy: PreemptPolicy) -> World {
    let mut world = World::new(1, 5);
    let mut both = config();
    let mut other = both.teams.values().next().expect("a team").clone();
    other.name = "other".into();
    other.weight = TeamWeight::new(1.0);
    both.teams.insert(other.name.clone(), other);
    for team in both.teams.values_mut() {
        team.cap = Cap(Room::default());
    }
    world.config = Arc::new(both);
    world.policy.preempt = policy;
    world.take_over();
    world.remove_old_owners();
    world.advance(6 * SECOND);
    for id in 0..SHARE_LIMIT {
        world.submit(job(id, steps(1, 1, 700)));
    }
    world.advance(3 * SECOND / 2);
    world
}

/// Starts `count` long runs beyond the share of `team`.
fn fill(world: &mut World, count: u64) {
    for worker in world.workers.values_mut() {
        worker.work_ms = LONG_MS;
    }
    for id in 0..count {
        world.submit(job(100 + id, steps(1, 1, LONG_MS)));
    }
    world.advance(SECOND / 2);
    let runs: usize = world.workers.values().map(|w| w.run_count()).sum();
    assert_eq!(runs, count as usize, "the long runs are on the workers");
}

/// A job of the other team, within its share.
fn waiting(count: u32) -> Submission {
    let mut sub = job(WAITING, steps(1, count, 700));
    sub.team = Some("other".into());
    sub
}

/// Number of tasks of the waiting job that were ordered to start between two times.
fn starts_between(world: &World, from: Time, until: Time) -> usize {
    let starts = world.sent_starts.iter();
    let starts = starts
        .filter(|(at, task)| task.job() == JobId::new(WAITING) && *at >= from && *at <= until);
    starts.count()
}

fn assert_all_complete(world: &mut World, count: u64) {
    world.advance(60 * SECOND);
    let ids = (100..100 + count).chain([WAITING]);
    for id in ids {
        let state = world.state(JobId::new(id));
        assert_eq!(state, Some(JobState::Complete), "job {id}");
    }
    world.assert_no_violations();
}

/// Guards against a team within its share that waits for eight seconds because another team's burst
/// fills the pool: as many runs beyond the share are stopped as its job has tasks, and these
/// complete later.
#[test]
fn within_share_starts() {
    let mut world = world(policy());
    fill(&mut world, 40);
    let from = world.now;
    world.submit(waiting(4));
    world.advance(2 * SECOND);
    assert_eq!(starts_between(&world, from, from.after(LATEST)), 4);
    assert_eq!(world.cell().take_tallies().runs_preempted, 4);
    assert_all_complete(&mut world, 40);
}

/// Nothing is stopped unless the policy says so.
#[test]
fn off_by_default() {
    let mut world = world(PreemptPolicy::default());
    fill(&mut world, 40);
    let from = world.now;
    world.submit(waiting(4));
    world.advance(2 * SECOND);
    assert_eq!(starts_between(&world, from, world.now), 0);
    assert_eq!(world.cell().take_tallies().runs_preempted, 0);
    assert_all_complete(&mut world, 40);
}

/// Guards against work thrown away for a job that starts in time anyway, in room that returns as
/// runs end.
#[test]
fn returning_room_is_enough() {
    let mut world = world(policy());
    for id in 0..40 {
        world.submit(job(100 + id, steps(1, 1, 700)));
    }
    world.advance(SECOND / 2);
    let from = world.now;
    world.submit(waiting(4));
    world.advance(2 * SECOND);
    assert_eq!(starts_between(&world, from, from.after(LATEST)), 4);
    assert_eq!(world.cell().take_tallies().runs_preempted, 0);
    assert_all_complete(&mut world, 40);
}

/// The other team's job with one task that needs the room of two runs.
fn wide() -> Submission {
    let mut sub = waiting(1);
    let mut steps = steps(1, 1, 700);
    steps[0].room.cpu = 8_000;
    sub.steps = steps.into();
    sub
}

/// Guards against stops of a job that is about to be done in time: by the time since it was
/// submitted and its estimate alone, a job whose tasks have run for long seems late.
#[test]
fn in_time_by_progress() {
    let mut world = world(policy());
    world.advance(6 * SECOND);
    for worker in world.workers.values_mut() {
        worker.work_ms = LONG_MS;
    }
    for id in 100..110 {
        let mut long = steps(1, 4, LONG_MS);
        long[0].resumable = true;
        world.submit(job(id, long));
    }
    // The latest start was 6.2 s after the submission, and another 1.4 s are left to run.
    world.advance(33 * SECOND / 5);
    let runs: usize = world.workers.values().map(|w| w.run_count()).sum();
    assert_eq!(runs, 40);
    world.submit(waiting(1));
    world.advance(SECOND);
    assert_eq!(world.cell().take_tallies().runs_preempted, 0);
    world.assert_no_violations();
}

/// Guards against stops that help nobody: while a run stops for a job that needs more room than
/// that run had, another job takes the room that was free before.
#[test]
fn room_is_held() {
    let mut world = world(policy());
    for worker in world.workers.values_mut() {
        worker.stop_time = Duration::from_millis(300);
    }
    fill(&mut world, 39);
    let from = world.now;
    world.submit(wide());
    world.advance(SECOND / 5);
    world.submit(job(139, steps(1, 1, LONG_MS)));
    world.advance(2 * SECOND);
    assert_eq!(starts_between(&world, from, from.after(LATEST)), 1);
    assert_eq!(world.cell().take_tallies().runs_preempted, 1);
    assert_all_complete(&mut world, 40);
}

/// Guards against held room that nobody uses: a job with a better rank may not use it, and as it
/// finds no room for the same request, the job that may use it is passed over.
#[test]
fn held_room_is_used() {
    let mut world = world(policy());
    for worker in world.workers.values_mut() {
        worker.stop_time = Duration::from_millis(300);
    }
    fill(&mut world, 39);
    let from = world.now;
    world.submit(wide());
    world.advance(SECOND / 5);
    let mut urgent = wide();
    urgent.job = JobId::new(WAITING + 1);
    let mut gang = steps(1, 1, 300);
    gang[0].room.cpu = 8_000;
    gang[0].gang = true;
    urgent.steps = gang.into();
    world.submit(urgent);
    world.advance(2 * SECOND);
    let soon = from.after(Duration::from_millis(600));
    assert_eq!(starts_between(&world, from, soon), 1);
    assert_all_complete(&mut world, 39);
}

/// Guards against an idle long-running or gang task: neither is stopped, though both run beyond
/// their team's share.
#[test]
fn never_gang_or_lasting() {
    let mut world = world(policy());
    for worker in world.workers.values_mut() {
        worker.lasting_jobs = vec![300];
        worker.work_ms = LONG_MS;
    }
    let mut gang = steps(1, 20, LONG_MS);
    gang[0].gang = true;
    world.submit(job(200, gang));
    world.submit(lasting(300, 20, 0));
    world.advance(SECOND / 2);
    let runs: usize = world.workers.values().map(|w| w.run_count()).sum();
    assert_eq!(runs, 40);
    world.submit(waiting(1));
    world.advance(2 * SECOND);
    assert_eq!(world.cell().take_tallies().runs_preempted, 0);
    world.assert_no_violations();
}

/// Guards against room that stays empty because a stop does not end: the hold is over soon after
/// the longest stop that was agreed, and another job takes the room.
#[test]
fn hold_ends() {
    let mut world = world(policy());
    for worker in world.workers.values_mut() {
        worker.stop_time = 5 * SECOND;
    }
    fill(&mut world, 39);
    world.submit(wide());
    world.advance(SECOND / 5);
    let narrow = JobId::new(139);
    world.submit(job(139, steps(1, 1, LONG_MS)));
    let started = |world: &World| world.sent_starts.iter().any(|(_, t)| t.job() == narrow);
    world.advance(SECOND / 2);
    assert!(!started(&world), "the room is held");
    world.advance(2 * SECOND);
    assert!(started(&world), "the hold is over");
    assert_all_complete(&mut world, 40);
}

/// Guards against a task that is stopped each time that it starts: what has just begun loses least.
#[test]
fn once_per_task() {
    let mut world = world(policy());
    fill(&mut world, 40);
    let mut preempted = 0;
    for round in 0..3 {
        let mut sub = waiting(4);
        sub.job = JobId::new(WAITING + round);
        sub.steps = steps(1, 4, 3_000).into();
        world.submit(sub);
        world.advance(SECOND / 2);
        preempted += world.cell().take_tallies().runs_preempted;
        world.cancel(JobId::new(WAITING + round));
        world.advance(SECOND / 2);
    }
    assert_eq!(preempted, 12);
    let restarts = |id: u64| {
        let starts = world.sent_starts.iter();
        starts.filter(|(_, t)| t.job() == JobId::new(id)).count()
    };
    assert!((100..140).all(|id| restarts(id) <= 2));
    world.advance(60 * SECOND);
    world.assert_no_violations();
}

/// Guards against more work thrown away than the policy allows.
#[test]
fn loss_is_bounded() {
    let mut world = world(PreemptPolicy {
        lost_percent_per_s: 0,
        ..policy()
    });
    fill(&mut world, 40);
    world.submit(waiting(4));
    world.advance(2 * SECOND);
    assert_eq!(world.cell().take_tallies().runs_preempted, 0);
    world.assert_no_violations();
}

/// Guards against tasks that are lost or run twice because the owner is replaced after it ordered
/// the stops and before it started the task that they were for.
#[test]
fn owner_lost_halfway() {
    let mut world = world(policy());
    for worker in world.workers.values_mut() {
        worker.stop_time = Duration::from_millis(300);
    }
    fill(&mut world, 40);
    world.submit(waiting(4));
    world.advance(SECOND / 5);
    assert_eq!(world.cell().take_tallies().runs_preempted, 4);
    let ordered = world.sent_starts.iter();
    let ordered = ordered.filter(|(_, t)| t.job() == JobId::new(WAITING));
    assert_eq!(ordered.count(), 0, "the room is not free yet");
    world.take_over();
    assert_all_complete(&mut world, 40);
}

/// Guards against starts in room that is not free: stops take far longer than agreed.
#[test]
fn late_stops() {
    let mut world = world(policy());
    for worker in world.workers.values_mut() {
        worker.stop_time = 3 * SECOND;
    }
    fill(&mut world, 40);
    let from = world.now;
    world.submit(waiting(4));
    world.advance(2 * SECOND);
    assert_eq!(starts_between(&world, from, world.now), 0);
    assert!(world.cell().take_tallies().runs_preempted >= 4);
    assert_all_complete(&mut world, 40);
}

/// Guards against a waiting job that is tied to a worker that fell silent with the stops: it starts
/// on another, and no task runs twice.
#[test]
fn silent_worker() {
    let mut world = world(policy());
    for worker in world.workers.values_mut() {
        worker.stop_time = Duration::from_millis(300);
    }
    fill(&mut world, 40);
    let from = world.now;
    world.submit(waiting(1));
    world.advance(SECOND / 5);
    assert_eq!(world.cell().take_tallies().runs_preempted, 1);
    for worker in world.workers.values_mut() {
        worker.connected = worker.run_count() == 8 && !worker.has_stops();
    }
    world.advance(10 * SECOND);
    assert_eq!(starts_between(&world, from, world.now), 1);
    for worker in world.workers.values_mut() {
        worker.connected = true;
    }
    assert_all_complete(&mut world, 40);
}

/// A run that is done before its stop takes effect counts as done, and is not started again.
#[test]
fn done_before_stop() {
    let mut world = world(policy());
    for worker in world.workers.values_mut() {
        worker.stop_time = Duration::from_millis(400);
    }
    fill(&mut world, 40);
    world.submit(waiting(4));
    world.advance(SECOND / 5);
    assert_eq!(world.cell().take_tallies().runs_preempted, 4);
    for worker in world.workers.values_mut() {
        worker.work_ms = 100;
    }
    assert_all_complete(&mut world, 40);
    let starts = world.sent_starts.iter();
    let long = starts.filter(|(_, t)| (100..140).contains(&t.job().get()));
    assert_eq!(long.count(), 40, "each long run was started once");
}

/// Guards against a waiting job that is tied to a worker's earlier life: the workers restart between
/// the stops and the starts.
#[test]
fn restarted_worker() {
    let mut world = world(policy());
    for worker in world.workers.values_mut() {
        worker.stop_time = Duration::from_millis(400);
    }
    fill(&mut world, 40);
    let from = world.now;
    world.submit(waiting(4));
    world.advance(SECOND / 5);
    assert_eq!(world.cell().take_tallies().runs_preempted, 4);
    for number in 0..5 {
        let now = world.now;
        world.worker(number).restart(now);
        let entry = world.worker(number).entry();
        world.cell().register_worker(now, entry);
    }
    world.advance(SECOND);
    assert_eq!(starts_between(&world, from, world.now), 4);
    assert_all_complete(&mut world, 40);
}

/// Number of generated histories.
const HISTORIES: u64 = 60;

/// A history in which urgent jobs take room from others while orders are lost, workers fall silent
/// and owners are replaced; returns the number of runs that were preempted.
fn run_history(seed: u64) -> u64 {
    let mut world = World::new(seed, 6);
    let mut both = config();
    let mut other = world::queue();
    other.name = "batch".into();
    other.prefix = "/batch/".into();
    other.priority = 1;
    both.queues.insert(other.name.clone(), other);
    for team in both.teams.values_mut() {
        team.cap = Cap(Room::default());
    }
    world.config = Arc::new(both);
    world.policy.preempt = policy();
    world.take_over();
    world.remove_old_owners();
    world.advance(6 * SECOND);
    for worker in world.workers.values_mut() {
        worker.work_ms = 6_000;
        worker.stop_time = Duration::from_millis(250);
    }
    let mut preempted = 0;
    for id in 0..16 {
        let batch = id < 6 || id % 2 > 0;
        let count = match batch {
            true => 8 + world.rng.below(5) as u32,
            false => 1 + world.rng.below(3) as u32,
        };
        let mut sub = job(id, steps(1, count, 6_000));
        if batch {
            sub.queue = "batch".into();
        }
        world.submit(sub);
        let pause = world.rng.below(300);
        world.advance(Duration::from_millis(pause));
        preempted += world.cell().take_tallies().runs_preempted;
        let number = world.rng.below(6) as usize;
        match world.rng.below(6) {
            0 => world.take_over(),
            1 => world.worker(number).connected = !world.worker(number).connected,
            2 => world.loss_percent = 30 - world.loss_percent,
            3 => world.store_slow = !world.store_slow,
            _ => {}
        }
    }
    world.advance(2 * SECOND);
    world.loss_percent = 0;
    world.store_slow = false;
    for number in 0..6 {
        world.worker(number).connected = true;
    }
    world.remove_old_owners();
    world.advance(60 * SECOND);
    for id in (0..16).map(JobId::new) {
        let state = world.state(id);
        assert_eq!(state, Some(JobState::Complete), "job {id} of seed {seed}");
    }
    world.assert_no_violations();
    preempted
}

/// No task is lost or runs twice, and no worker runs more than it has room for, whatever happens
/// between a stop and the start that it was for.
#[test]
fn generated_histories() {
    let preempted: u64 = (0..HISTORIES).map(run_history).sum();
    assert!(preempted > HISTORIES, "{preempted} runs preempted");
}

/// Guards against timely jobs that are never considered because the jobs before them in the queue
/// are none for which runs are stopped: long-running ones that find no room, or others that only
/// some workers may run.
#[test]
fn behind_other_jobs() {
    for is_lasting in [true, false] {
        let mut world = world(policy());
        fill(&mut world, 40);
        for id in 200..240 {
            let mut step = steps(1, 1, 100).remove(0);
            step.room.cpu = 30_000;
            step.lasting = is_lasting;
            step.spread = 1;
            let mut sub = job(id, vec![step]);
            sub.team = None;
            world.submit(sub);
        }
        let submitted = world.now;
        world.submit(waiting(4));
        world.advance(LATEST);
        let started = starts_between(&world, submitted, world.now);
        assert_eq!(started, 4, "lasting: {is_lasting}");
    }
}
