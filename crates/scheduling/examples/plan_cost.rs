//! Prints the run time of a planning round and the cost of job records for several fleet sizes.
//!
//! `cargo run --release -p cactuswheel-scheduling --example plan_cost`

use std::time::{Duration, Instant};

use cactuswheel_fleet::{Applied, State};
use cactuswheel_model::{AttemptEnd, Incarnation, JobEvent, Record, Set, Time};
use cactuswheel_scheduling::{LiveWorker, Planner, Proposal};
use serde_json::{Value, json};

/// Workers, pools and teams of each fleet size; the last is the design target.
const SIZES: [(usize, usize, usize); 4] = [
    (50, 6, 6),
    (1_000, 10, 40),
    (3_000, 30, 80),
    (8_700, 63, 160),
];

/// Queued jobs per worker.
const WAITING: usize = 2;

/// Maximum number of events in one record.
const BATCH: usize = 500;

/// Planning rounds timed at each size.
const ROUNDS: usize = 20;

fn main() {
    println!(
        "workers pools teams waiting | empty round, first round ms | record us/event, bytes/event"
    );
    for (workers, pools, teams) in SIZES {
        let mut state = fleet(workers, pools, teams);
        let live_workers = live_workers(&state);
        let jobs = workers * WAITING;
        let (submit, bytes) = submit(&mut state, jobs, pools, teams);
        let mut planner = Planner::default();
        let (first, placed) =
            timed(|| planner.plan(Time::new(0), &state, &live_workers, &Set::default()));
        let events: Vec<_> = placed.iter().filter_map(Proposal::event).collect();
        let placements = events.len();
        let (place, _) = timed(|| apply(&mut state, events.clone()));
        drain(&mut state, &mut planner, &live_workers);
        let (idle, _) = timed(|| {
            for _ in 0..ROUNDS {
                planner.plan(Time::new(0), &state, &live_workers, &Set::default());
            }
        });
        let per = |d: Duration, n: usize| d.as_secs_f64() * 1e6 / n.max(1) as f64;
        println!(
            "{workers:7} {pools:5} {teams:5} {jobs:7} | {:8.2} {:8.2} ({placements} placed) | submit {:.1} place {:.1}, {}",
            idle.as_secs_f64() * 1e3 / ROUNDS as f64,
            first.as_secs_f64() * 1e3,
            per(submit, jobs),
            per(place, placements),
            bytes / jobs,
        );
    }
}

fn timed<T>(run: impl FnOnce() -> T) -> (Duration, T) {
    let start = Instant::now();
    let done = run();
    (start.elapsed(), done)
}

fn fleet(workers: usize, pools: usize, teams: usize) -> State {
    let mut changes = vec![json!({"dc": {"id": "dc", "region": "r"}})];
    changes.extend((0..pools).map(|i| json!({"pool": {"id": format!("p{i}")}})));
    changes.extend((0..teams).map(|i| {
        json!({"team": {"id": format!("t{i}"), "share": i % 7 + 1, "limit": 100_000, "jobs": 100_000}})
    }));
    changes.extend((0..workers).map(|i| {
        json!({"instance": {"id": format!("w{i}"), "pool": format!("p{}", i % pools), "dc": "dc",
            "rack": format!("r{}", i / 4), "cores": 32 + i % 3 * 32, "memory": 131_072,
            "slots": 8, "conns": 64}})
    }));
    let mut state = State::default();
    let ticket = json!({"ticket": {"ticket": 1, "changes": changes}});
    assert!(matches!(
        state.apply(state.next(), &ticket.to_string()),
        Applied::Ticket(_)
    ));
    state
}

fn live_workers(state: &State) -> Vec<LiveWorker> {
    let incarnation = Incarnation::new(1);
    let workers = state.config().instances.values();
    workers
        .map(|w| LiveWorker {
            id: w.id.clone(),
            incarnation,
        })
        .collect()
}

fn submit(state: &mut State, jobs: usize, pools: usize, teams: usize) -> (Duration, usize) {
    let mut took = Duration::ZERO;
    let mut bytes = 0;
    for from in (0..jobs).step_by(BATCH) {
        let events: Vec<Value> = (from..jobs.min(from + BATCH))
            .map(|i| {
                json!({"submit": {"job": format!("t{}/job-{i}", i % teams), "at": i, "spec": {
                    "pool": format!("p{}", i % pools), "retry": "resume",
                    "room": {"cores": 8 + i % 3 * 8, "memory": 16_384}}}})
            })
            .collect();
        let body = json!({ "jobs": events }).to_string();
        bytes += body.len();
        let (time, _) = timed(|| state.apply(state.next(), &body));
        took += time;
    }
    (took, bytes)
}

fn apply(state: &mut State, events: Vec<JobEvent>) {
    for batch in events.chunks(BATCH) {
        let body = serde_json::to_string(&Record::Jobs(batch.to_vec())).expect("events are JSON");
        state.apply(state.next(), &body);
    }
}

/// Places jobs until nothing more fits, then ends half of the placed jobs, so that the workers
/// are partly occupied.
fn drain(state: &mut State, planner: &mut Planner, live_workers: &[LiveWorker]) {
    loop {
        let placed = planner.plan(Time::new(0), state, live_workers, &Set::default());
        let events: Vec<_> = placed.iter().filter_map(Proposal::event).collect();
        if events.is_empty() {
            break;
        }
        apply(state, events);
    }
    let running = state.jobs().iter().filter(|(_, j)| !j.phase.is_final());
    let ends = running.step_by(2).map(|(id, job)| JobEvent::End {
        job: id.clone(),
        attempt: job.attempt,
        end: AttemptEnd::Done,
    });
    let ends = ends.collect();
    apply(state, ends);
}
