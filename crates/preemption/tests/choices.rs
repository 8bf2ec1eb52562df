//! Which runs are stopped, for which waiting work, and how many.

use cactuswheel_model::Time;
use cactuswheel_preemption::{
    Budget, Candidate, Demand, PreemptPolicy, Preemption, Returns, Snapshot, Victim, VictimClass,
    preempt,
};
use cactuswheel_work::{JobId, Room, StepId, TaskId};

/// Processor capacity of the pool, in thousandths of a core.
const POOL_CPU: u64 = 100_000;

/// Time from a stop order until a task can start in its room, in milliseconds.
const STOP_MS: u64 = 500;

fn room(cpu: u64, memory: u64) -> Room {
    Room {
        cpu,
        memory,
        gpu: 0,
    }
}

fn step(job: u64) -> StepId {
    StepId {
        job: JobId::new(job),
        turn: 0,
        step: 0,
    }
}

fn demand(tasks: u64) -> Demand {
    Demand {
        step: step(1),
        room: room(4_000, 4_000),
        tasks,
        slack_ms: 1_000,
        run_ms: 2_000,
        priority: 0,
    }
}

/// A run of the job `job` that has run for `ran_ms` and needs another eight seconds.
fn victim(job: u64, room: Room, class: VictimClass, ran_ms: u64) -> Victim {
    Victim {
        task: TaskId {
            step: step(job),
            index: 0,
        },
        run: 1,
        room,
        class,
        priority: 1,
        lost: room.cpu * ran_ms,
        left_ms: 8_000,
    }
}

fn worker(name: &str, victims: Vec<Victim>) -> Candidate {
    Candidate {
        worker: name.into(),
        free: Room::default(),
        victims,
    }
}

fn over_share(job: u64, ran_ms: u64) -> Victim {
    victim(job, room(4_000, 4_000), VictimClass::OverShare, ran_ms)
}

fn snapshot(demands: Vec<Demand>, candidates: Vec<Candidate>) -> Snapshot {
    Snapshot {
        demands,
        candidates,
        returns: Returns::default(),
        stop_ms: STOP_MS,
    }
}

fn budget(percent: u32) -> Budget {
    let policy = PreemptPolicy {
        lost_percent_per_s: percent,
        ..PreemptPolicy::default()
    };
    let mut budget = Budget::default();
    budget.refill(&policy, POOL_CPU, Time::new(1_000));
    budget
}

fn choose(snapshot: &Snapshot) -> Vec<Preemption> {
    preempt(snapshot, &mut budget(100))
}

/// Jobs whose runs are stopped.
fn stopped(chosen: &[Preemption]) -> Vec<u64> {
    let victims = chosen.iter().flat_map(|p| &p.victims);
    victims.map(|v| v.task.job().get()).collect()
}

/// A run of no use to its caller goes first, although it loses more work; then what lost least.
#[test]
fn least_loss_first() {
    let overdue = victim(10, room(4_000, 4_000), VictimClass::Overdue, 1_500);
    let workers = vec![
        worker("a", vec![over_share(11, 900)]),
        worker("b", vec![over_share(12, 100)]),
        worker("c", vec![overdue]),
    ];
    let one = choose(&snapshot(vec![demand(1)], workers.clone()));
    assert_eq!(stopped(&one), [10]);
    let two = choose(&snapshot(vec![demand(2)], workers));
    assert_eq!(stopped(&two), [10, 12]);
}

/// Guards against stops for a job that stays late all the same, since one of its tasks finds no
/// room.
#[test]
fn whole_step() {
    let workers = vec![worker("a", vec![over_share(10, 100)])];
    assert!(choose(&snapshot(vec![demand(2)], workers)).is_empty());
}

/// Guards against runs that are stopped on two workers for a task that fits on neither, or because
/// of the processor alone where memory is short.
#[test]
fn fits_on_one_worker() {
    let narrow = |job| victim(job, room(2_000, 4_000), VictimClass::OverShare, 100);
    let apart = vec![worker("a", vec![narrow(10)]), worker("b", vec![narrow(11)])];
    assert!(choose(&snapshot(vec![demand(1)], apart)).is_empty());
    let little_memory = victim(12, room(8_000, 1_000), VictimClass::OverShare, 100);
    let short = vec![worker("a", vec![little_memory])];
    assert!(choose(&snapshot(vec![demand(1)], short)).is_empty());
    let together = vec![worker("a", vec![narrow(10), narrow(11)])];
    let chosen = choose(&snapshot(vec![demand(1)], together));
    assert_eq!(stopped(&chosen), [10, 11]);
}

/// Guards against a small run that is stopped beside a large one whose room is enough.
#[test]
fn no_needless_victim() {
    let small = victim(10, room(1_000, 1_000), VictimClass::OverShare, 100);
    let workers = vec![worker("a", vec![small, over_share(11, 100)])];
    let chosen = choose(&snapshot(vec![demand(1)], workers));
    assert_eq!(stopped(&chosen), [11]);
}

/// Room that returns by itself goes to the steps in their order, and only what is missing then is
/// taken back.
#[test]
fn returning_room_counts() {
    let mut later = demand(1);
    later.step = step(2);
    let workers = vec![
        worker("a", vec![over_share(10, 100)]),
        worker("b", vec![over_share(11, 200)]),
    ];
    let mut state = snapshot(vec![demand(1), later], workers);
    state.returns = Returns {
        slot_ms: 250,
        slots: vec![Room::default(), Room::default(), room(4_000, 4_000)],
    };
    let chosen = choose(&state);
    assert_eq!(stopped(&chosen), [10]);
    assert_eq!(chosen[0].step, step(2));
}

/// Guards against a stop that takes effect only after the latest start, or after the run would have
/// ended by itself.
#[test]
fn too_late_to_help() {
    let workers = vec![worker("a", vec![over_share(10, 100)])];
    let mut late = demand(1);
    late.slack_ms = STOP_MS - 1;
    assert!(choose(&snapshot(vec![late], workers)).is_empty());
    let mut ending = over_share(10, 100);
    ending.left_ms = STOP_MS;
    let workers = vec![worker("a", vec![ending])];
    assert!(choose(&snapshot(vec![demand(1)], workers)).is_empty());
}

/// Only the queues of priority 0 take room from timely work within its share.
#[test]
fn urgent_only() {
    let ordinary = victim(10, room(4_000, 4_000), VictimClass::LowerPriority, 100);
    let workers = vec![worker("a", vec![ordinary])];
    let urgent = choose(&snapshot(vec![demand(1)], workers.clone()));
    assert_eq!(stopped(&urgent), [10]);
    let mut other = demand(1);
    other.priority = 1;
    assert!(choose(&snapshot(vec![other], workers)).is_empty());
}

/// Guards against more work thrown away for a job than it has itself.
#[test]
fn loss_below_gain() {
    let workers = vec![worker("a", vec![over_share(10, 2_500)])];
    assert!(choose(&snapshot(vec![demand(1)], workers)).is_empty());
}

/// Guards against a burst of stops: a second's budget is spent once, and fills again with time.
#[test]
fn budget_refills() {
    let policy = PreemptPolicy {
        lost_percent_per_s: 1,
        stops_per_s: 1,
        ..PreemptPolicy::default()
    };
    let mut budget = Budget::default();
    budget.refill(&policy, POOL_CPU, Time::new(1_000));
    // One percent of a hundred cores for a second.
    assert!(!budget.take(1_000_001, 1));
    assert!(budget.take(1_000_000, 1));
    assert!(!budget.take(0, 1), "one stop a second");
    budget.refill(&policy, POOL_CPU, Time::new(1_500));
    assert!(!budget.take(600_000, 0));
    assert!(budget.take(500_000, 0));
    budget.refill(&policy, POOL_CPU, Time::new(2_500));
    assert!(budget.take(0, 1));
}
