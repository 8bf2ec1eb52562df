//! Planning rounds, on example fleets and on randomly generated ones.

use cactuswheel_fleet::{Applied, JobPhase, State};
use cactuswheel_model::{Code, Incarnation, JobEvent, Record, Set, Time};
use cactuswheel_scheduling::{LiveWorker, Planner, Proposal};
use cactuswheel_testkit::check;
use serde_json::{Value, json};

const NOW: Time = Time::new(0);

fn apply(state: &mut State, record: &Value) -> Vec<Code> {
    match state.apply(state.next(), &record.to_string()) {
        Applied::Ticket(outcome) => vec![outcome.code],
        Applied::Jobs(done) => done
            .into_iter()
            .map(|r| r.map_or_else(|e| e.code, |()| Code::Ok))
            .collect(),
        other => panic!("{other:?}"),
    }
}

/// A fleet of teams `t0`, `t1`, ... with these shares and workers `w0`, `w1`, ... with these
/// numbers of cores.
fn fleet(shares: &[u32], cores: &[u32]) -> State {
    let mut state = State::default();
    let mut changes = vec![
        json!({"dc": {"id": "ktm", "region": "np"}}),
        json!({"pool": {"id": "shake"}}),
    ];
    changes.extend(shares.iter().enumerate().map(|(i, share)| {
        json!({"team": {"id": format!("t{i}"), "share": share, "limit": 1000, "jobs": 1000}})
    }));
    changes.extend(cores.iter().enumerate().map(|(i, cores)| {
        json!({"instance": {"id": format!("w{i}"), "pool": "shake", "dc": "ktm", "rack": "r",
            "cores": cores, "memory": 1000, "slots": 8, "conns": 64}})
    }));
    let ticket = json!({"ticket": {"ticket": 1, "changes": changes}});
    assert_eq!(apply(&mut state, &ticket), [Code::Ok]);
    state
}

fn submit(state: &mut State, team: usize, name: &str, cores: u32, urgent: bool) {
    let event = json!({"jobs": [{"submit": {"job": format!("t{team}/{name}"), "at": 0, "spec": {
        "pool": "shake", "room": {"cores": cores, "memory": 1}, "urgent": urgent,
        "retry": "resume"}}}]});
    assert_eq!(apply(state, &event), [Code::Ok]);
}

fn live(state: &State) -> Vec<LiveWorker> {
    let incarnation = Incarnation::new(1);
    let workers = state.config().instances.values();
    workers
        .map(|w| LiveWorker {
            id: w.id.clone(),
            incarnation,
        })
        .collect()
}

/// Runs one planning round, appends the placements and returns their number.
fn round(state: &mut State, planner: &mut Planner) -> usize {
    let proposals = planner.plan(NOW, state, &live(state), &Set::default());
    let events: Vec<JobEvent> = proposals.iter().filter_map(Proposal::event).collect();
    let n = events.len();
    let record = serde_json::to_value(Record::Jobs(events)).unwrap();
    assert!(apply(state, &record).iter().all(|c| *c == Code::Ok));
    n
}

fn placed(state: &State, team: usize) -> u32 {
    state.jobs().placed(&format!("t{team}").parse().unwrap())
}

#[test]
fn fair_turns() {
    let mut state = fleet(&[1, 3], &[8]);
    for i in 0..8 {
        submit(&mut state, 0, &format!("a{i}"), 1, false);
        submit(&mut state, 1, &format!("a{i}"), 1, false);
    }
    assert_eq!(round(&mut state, &mut Planner::default()), 8);
    assert_eq!((placed(&state, 0), placed(&state, 1)), (2, 6));
}

#[test]
fn urgent_first() {
    let mut state = fleet(&[1, 1], &[4]);
    submit(&mut state, 0, "long", 4, false);
    submit(&mut state, 1, "short", 4, true);
    round(&mut state, &mut Planner::default());
    assert_eq!((placed(&state, 0), placed(&state, 1)), (0, 1));
}

#[test]
fn preempted_once() {
    // All workers are full of long jobs when an urgent job arrives. One resumable job is
    // preempted for it, and no second one while the first has not yet stopped.
    let mut state = fleet(&[1, 1], &[4, 4]);
    let mut planner = Planner::default();
    submit(&mut state, 0, "a", 4, false);
    submit(&mut state, 0, "b", 4, false);
    round(&mut state, &mut planner);
    submit(&mut state, 1, "urgent", 2, true);
    let first = planner.plan(NOW, &state, &live(&state), &Set::default());
    assert!(
        matches!(&first[..], [Proposal::Preempt { waiting, .. }] if waiting.name.as_str() == "urgent")
    );
    assert!(
        planner
            .plan(NOW, &state, &live(&state), &Set::default())
            .is_empty()
    );
}

#[test]
fn drained_worker() {
    let mut state = fleet(&[1], &[4]);
    submit(&mut state, 0, "a", 4, false);
    let drained = ["w0".parse().unwrap()].into_iter().collect();
    assert!(
        Planner::default()
            .plan(NOW, &state, &live(&state), &drained)
            .is_empty()
    );
}

#[test]
fn learnt_size() {
    // A team declares 4 cores per job and uses 1. After several usage reports, a worker gets
    // more of its jobs than the declared sizes allow.
    let mut state = fleet(&[1], &[4]);
    let mut planner = Planner::default();
    for i in 0..4 {
        submit(&mut state, 0, &format!("a{i}"), 4, false);
    }
    let id = "t0/a0".parse::<cactuswheel_model::JobId>().unwrap();
    let declared = state.jobs().get(&id).unwrap().spec.room;
    let mut used = declared;
    used.cores = cactuswheel_model::Cores::new(1);
    for _ in 0..20 {
        planner.estimates.record_usage(&id.team, declared, used);
    }
    assert!(round(&mut state, &mut planner) >= 2);
}

#[test]
fn all_accepted() {
    // On any fleet, the state accepts each placement of a round, and no job stays queued while
    // an idle worker has enough cores for it.
    fn property(cores: Vec<u8>, jobs: Vec<(bool, u8, bool)>) -> bool {
        let cores: Vec<u32> = cores
            .iter()
            .take(12)
            .map(|c| u32::from(c % 16) + 1)
            .collect();
        if cores.is_empty() {
            return true;
        }
        let most = cores.iter().copied().max().unwrap_or(1);
        let mut state = fleet(&[1, 2], &cores);
        for (i, (team, size, urgent)) in jobs.into_iter().enumerate() {
            let size = u32::from(size) % most + 1;
            submit(&mut state, team.into(), &format!("j{i}"), size, urgent);
        }
        let mut planner = Planner::default();
        while round(&mut state, &mut planner) > 0 {}
        let idle = state.config().instances.values().any(|w| {
            let fits = |cores| state.jobs().worker(&w.id).is_none() && cores <= w.cores;
            state
                .jobs()
                .iter()
                .any(|(_, j)| j.phase == JobPhase::Queued && fits(j.spec.room.cores))
        });
        !idle
    }
    check(
        11,
        300,
        property as fn(Vec<u8>, Vec<(bool, u8, bool)>) -> bool,
    );
}
