//! The rules for jobs, by example.

use cactuswheel_fleet::{Applied, JobPhase, State};
use cactuswheel_model::{Code, JobId, Team};
use serde_json::{Value, json};

fn apply(state: &mut State, events: Value) -> Vec<Code> {
    match state.apply(state.next(), &json!({ "jobs": events }).to_string()) {
        Applied::Jobs(done) => done
            .into_iter()
            .map(|r| r.map_or_else(|e| e.code, |()| Code::Ok))
            .collect(),
        other => panic!("{other:?}"),
    }
}

fn apply_one(state: &mut State, event: Value) -> Code {
    apply(state, json!([event]))[0]
}

fn base() -> State {
    let mut state = State::default();
    let mut changes = vec![
        json!({"dc": {"id": "ktm", "region": "np"}}),
        json!({"pool": {"id": "shake"}}),
        json!({"team": {"id": "lab", "share": 1, "limit": 9, "jobs": 2}}),
    ];
    changes.extend(["w1", "w2", "w3"].map(|id| {
        json!({"instance": {"id": id, "pool": "shake", "dc": "ktm", "rack": id, "cores": 8,
            "memory": 1000, "slots": 8, "conns": 64}})
    }));
    let ticket = json!({"ticket": {"ticket": 1, "changes": changes}}).to_string();
    assert!(matches!(state.apply(state.next(), &ticket), Applied::Ticket(o) if o.code == Code::Ok));
    state
}

fn submit(name: &str, cores: u32, retry: &str) -> Value {
    json!({"submit": {"job": format!("lab/{name}"), "at": 1, "spec": {"pool": "shake",
        "room": {"cores": cores, "memory": 100}, "retry": retry}}})
}

fn place(name: &str, attempt: u32, worker: &str) -> Value {
    json!({"place": {"job": format!("lab/{name}"), "attempt": attempt, "worker": worker,
        "incarnation": 1, "room": {"cores": 4, "memory": 100}}})
}

fn end(name: &str, attempt: u32, end: &str) -> Value {
    json!({"end": {"job": format!("lab/{name}"), "attempt": attempt, "end": end}})
}

fn phase(state: &State, name: &str) -> JobPhase {
    let id: JobId = format!("lab/{name}").parse().unwrap();
    state.jobs().get(&id).unwrap().phase.clone()
}

#[test]
fn repeated_submission() {
    let mut state = base();
    assert_eq!(apply_one(&mut state, submit("a", 4, "never")), Code::Ok);
    assert_eq!(apply_one(&mut state, submit("a", 4, "never")), Code::Ok);
    assert_eq!(
        apply_one(&mut state, submit("a", 5, "never")),
        Code::JobUsed
    );
    let team: Team = Team::clone(state.config().teams.get("lab").unwrap());
    assert_eq!(state.jobs().waiting(&team.id), 1);
}

#[test]
fn raced_placement() {
    // Two entries place the same job at once. The first record in the log wins and the second is
    // refused, so the job has one attempt on one worker.
    let mut state = base();
    apply_one(&mut state, submit("a", 4, "never"));
    assert_eq!(apply_one(&mut state, place("a", 1, "w1")), Code::Ok);
    assert_eq!(apply_one(&mut state, place("a", 1, "w2")), Code::JobMoved);
    assert!(
        matches!(phase(&state, "a"), JobPhase::Placed { worker, .. } if worker.as_str() == "w1")
    );
}

#[test]
fn worker_room() {
    let mut state = base();
    apply(
        &mut state,
        json!([submit("a", 4, "never"), submit("b", 4, "never")]),
    );
    assert_eq!(apply_one(&mut state, place("a", 1, "w1")), Code::Ok);
    let mut large = place("b", 1, "w1");
    large["place"]["room"]["cores"] = json!(5);
    assert_eq!(apply_one(&mut state, large), Code::WorkerFull);
    assert_eq!(apply_one(&mut state, place("b", 1, "w1")), Code::Ok);
}

#[test]
fn team_limit() {
    let mut state = base();
    let names = ["a", "b", "c"];
    for name in names {
        apply_one(&mut state, submit(name, 4, "never"));
    }
    assert_eq!(apply_one(&mut state, place("a", 1, "w1")), Code::Ok);
    assert_eq!(apply_one(&mut state, place("b", 1, "w1")), Code::Ok);
    assert_eq!(apply_one(&mut state, place("c", 1, "w2")), Code::TeamLimit);
    assert_eq!(apply_one(&mut state, end("a", 1, "done")), Code::Ok);
    assert_eq!(apply_one(&mut state, place("c", 1, "w2")), Code::Ok);
}

#[test]
fn lost_attempt() {
    // A worker reboots while three jobs run on it. The one that must not be retried ends as
    // unknown; the idempotent one and the resumable one are queued again, the latter with its
    // checkpoint.
    let mut state = base();
    for (name, retry) in [("n", "never"), ("r", "restart"), ("c", "resume")] {
        apply_one(&mut state, submit(name, 4, retry));
        assert_eq!(apply_one(&mut state, place(name, 1, "w1")), Code::Ok);
        let checkpoint =
            json!({"checkpoint": {"job": format!("lab/{name}"), "attempt": 1, "mark": "m"}});
        assert_eq!(apply_one(&mut state, checkpoint), Code::Ok);
        assert_eq!(apply_one(&mut state, end(name, 1, "lost")), Code::Ok);
    }
    assert_eq!(phase(&state, "n"), JobPhase::Unknown);
    assert_eq!(phase(&state, "r"), JobPhase::Queued);
    assert_eq!(phase(&state, "c"), JobPhase::Queued);
    let id: JobId = "lab/c".parse().unwrap();
    assert_eq!(
        state.jobs().get(&id).unwrap().checkpoint.as_deref(),
        Some("m")
    );
}

#[test]
fn late_word() {
    // The end of the first attempt is reported after the second attempt was placed: the late
    // report must be refused.
    let mut state = base();
    apply_one(&mut state, submit("a", 4, "restart"));
    apply_one(&mut state, place("a", 1, "w1"));
    apply_one(&mut state, end("a", 1, "lost"));
    apply_one(&mut state, place("a", 2, "w2"));
    assert_eq!(apply_one(&mut state, end("a", 1, "done")), Code::JobMoved);
    assert!(
        matches!(phase(&state, "a"), JobPhase::Placed { worker, .. } if worker.as_str() == "w2")
    );
}

#[test]
fn never_runnable() {
    let mut state = base();
    apply_one(&mut state, submit("a", 4, "restart"));
    for (attempt, worker) in [(1, "w1"), (2, "w2"), (3, "w3")] {
        assert_eq!(apply_one(&mut state, place("a", attempt, worker)), Code::Ok);
        assert_eq!(apply_one(&mut state, end("a", attempt, "failed")), Code::Ok);
    }
    assert_eq!(phase(&state, "a"), JobPhase::Failed);
}

#[test]
fn broken_worker() {
    // Three different jobs fail in a row on a worker: from then on it gets one job at a time,
    // until one succeeds.
    let mut state = base();
    for name in ["a", "b", "c"] {
        apply_one(&mut state, submit(name, 4, "restart"));
        assert_eq!(apply_one(&mut state, place(name, 1, "w1")), Code::Ok);
        apply_one(&mut state, end(name, 1, "failed"));
    }
    assert_eq!(apply_one(&mut state, place("a", 2, "w1")), Code::Ok);
    assert_eq!(apply_one(&mut state, place("b", 2, "w1")), Code::WorkerFull);
    apply_one(&mut state, end("a", 2, "done"));
    assert_eq!(apply_one(&mut state, place("b", 2, "w1")), Code::Ok);
}

#[test]
fn cancelled_job() {
    let mut state = base();
    apply(
        &mut state,
        json!([submit("a", 4, "restart"), submit("b", 4, "restart")]),
    );
    apply_one(&mut state, place("b", 1, "w1"));
    let cancel = |name: &str| json!({"cancel": {"job": format!("lab/{name}")}});
    assert_eq!(
        apply(&mut state, json!([cancel("a"), cancel("b")])),
        [Code::Ok, Code::Ok]
    );
    assert_eq!(phase(&state, "a"), JobPhase::Cancelled);
    assert!(matches!(phase(&state, "b"), JobPhase::Placed { .. }));
    apply_one(&mut state, end("b", 1, "stopped"));
    assert_eq!(phase(&state, "b"), JobPhase::Cancelled);
}

#[test]
fn too_large() {
    let mut state = base();
    assert_eq!(
        apply_one(&mut state, submit("a", 9, "never")),
        Code::JobTooLarge
    );
}

#[test]
fn drained_worker() {
    // Maintenance drains a worker while a job runs on it. No other job is placed there, and the
    // reboot cannot be committed before the job has ended.
    let mut state = base();
    apply_one(&mut state, submit("a", 4, "never"));
    apply_one(&mut state, submit("b", 4, "never"));
    apply_one(&mut state, place("a", 1, "w1"));
    let wave = json!({"wave": {"number": 1}});
    state.apply(state.next(), &wave.to_string());
    let fence = state.next();
    let take = json!({"take": {"instance": "w1", "incarnation": 1,
        "purpose": {"reboot": 1}, "holder": "e1"}});
    assert_eq!(apply_disruption(&mut state, take), Code::Ok);
    assert_eq!(apply_one(&mut state, place("b", 1, "w1")), Code::WorkerFull);
    let commit = json!({"commit": {"instance": "w1", "fence": fence}});
    assert_eq!(
        apply_disruption(&mut state, commit.clone()),
        Code::WrongStage
    );
    apply_one(&mut state, end("a", 1, "done"));
    assert_eq!(apply_disruption(&mut state, commit), Code::Ok);
}

fn apply_disruption(state: &mut State, step: Value) -> Code {
    match state.apply(state.next(), &json!({ "disruption": step }).to_string()) {
        Applied::Disruption(done) => done.map_or_else(|e| e.code, |_| Code::Ok),
        other => panic!("{other:?}"),
    }
}
