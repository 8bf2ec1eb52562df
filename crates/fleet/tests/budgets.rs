//! Disruption budgets as the fold enforces them.

use cactuswheel_fleet::{Applied, Budget, Stage, State};
use cactuswheel_model::{Code, InstanceId, Offset};
use cactuswheel_testkit::check;
use serde_json::{Value, json};

/// Applies a record; returns the offset of its ticket or the fencing token of its outage,
/// otherwise 0, and the result code.
fn propose(state: &mut State, record: &Value) -> (u64, Code) {
    match state.apply(state.next(), &record.to_string()) {
        Applied::Ticket(outcome) => (outcome.offset.get(), outcome.code),
        Applied::Disruption(Ok(fence)) => (fence.get(), Code::Ok),
        Applied::Disruption(Err(refusal))
        | Applied::Wave(Err(refusal))
        | Applied::Moves(Err(refusal)) => (0, refusal.code),
        Applied::Wave(Ok(())) | Applied::Moves(Ok(())) => (0, Code::Ok),
        other => panic!("{other:?}"),
    }
}

fn instance(n: usize, pool: &str) -> Value {
    json!({"instance": {"id": format!("w{n}"), "pool": pool, "dc": "lj1",
        "rack": format!("r{}", n / 2), "cores": 64, "memory": 131072, "slots": 8, "conns": 64}})
}

fn service(id: &str, max: u64, demand: u64) -> Value {
    json!({"service": {"id": id, "pool": "render", "max_down": max, "demand": demand}})
}

fn ticket(number: u64, changes: Value) -> Value {
    json!({"ticket": {"ticket": number, "changes": changes}})
}

/// Six instances in `render`, two per rack, with services that allow `max` and 3 of them to be
/// down; wave 1 has begun.
fn base(max: u64) -> State {
    let mut state = State::default();
    let mut changes = vec![
        json!({"dc": {"id": "lj1", "region": "lj"}}),
        json!({"pool": {"id": "render"}}),
        json!({"pool": {"id": "spare", "spare": true}}),
        service("reels", max, 16),
        service("loudness", 3, 8),
    ];
    changes.extend((0..6).map(|n| instance(n, "render")));
    assert_eq!(propose(&mut state, &ticket(1, json!(changes))).1, Code::Ok);
    assert_eq!(
        propose(&mut state, &json!({"wave": {"number": 1}})).1,
        Code::Ok
    );
    state
}

fn take(n: usize, incarnation: u64, purpose: &Value) -> Value {
    json!({"disruption": {"take": {"instance": format!("w{n}"), "incarnation": incarnation,
        "purpose": purpose, "holder": "e1"}}})
}

fn reboot(n: usize, incarnation: u64) -> Value {
    take(n, incarnation, &json!({"reboot": 1}))
}

fn take_move(n: usize) -> Value {
    take(n, 1, &json!({"move": {"from": "render", "to": "spare"}}))
}

/// A record with the list of wanted moves.
fn wanted(instances: &[usize]) -> Value {
    let wanted_move =
        |n: &usize| json!({"instance": format!("w{n}"), "from": "render", "to": "spare"});
    let moves: Vec<_> = instances.iter().map(wanted_move).collect();
    json!({"moves": {"moves": moves}})
}

fn step(kind: &str, n: usize, fence: u64) -> Value {
    json!({"disruption": {kind: {"instance": format!("w{n}"), "fence": fence}}})
}

fn back(n: usize, fence: u64, incarnation: u64) -> Value {
    json!({"disruption": {"back":
        {"instance": format!("w{n}"), "fence": fence, "incarnation": incarnation}}})
}

fn lost(n: usize, incarnation: u64) -> Value {
    json!({"disruption": {"lost": {"instance": format!("w{n}"), "incarnation": incarnation}}})
}

fn budget(state: &State, pool: &str) -> Budget {
    let pool = pool.parse().unwrap();
    state.disruptions().budget(&pool, state.config())
}

#[test]
fn strictest_service() {
    let mut state = base(2);
    assert_eq!(propose(&mut state, &reboot(0, 1)).1, Code::Ok);
    assert_eq!(propose(&mut state, &reboot(1, 1)).1, Code::Ok);
    assert_eq!(propose(&mut state, &reboot(2, 1)).1, Code::BudgetFull);
}

#[test]
fn repeated_take() {
    // A grant is appended, but its answer is lost, and the driver appends it again: it must get
    // the same grant, and the budget must be used once.
    let mut state = base(2);
    let first = propose(&mut state, &reboot(0, 1));
    assert_eq!(propose(&mut state, &reboot(0, 1)), first);
    assert_eq!(budget(&state, "render").down, 1);
}

#[test]
fn old_life_back() {
    // A reboot is committed, but the worker has not gone down yet. Seeing it healthy in its old
    // incarnation must not free the budget; seeing it in the next one must.
    let mut state = base(1);
    let (fence, _) = propose(&mut state, &reboot(0, 1));
    assert_eq!(propose(&mut state, &step("commit", 0, fence)).1, Code::Ok);
    assert_eq!(propose(&mut state, &back(0, fence, 1)).1, Code::GrantStale);
    assert_eq!(propose(&mut state, &reboot(1, 1)).1, Code::BudgetFull);
    assert_eq!(propose(&mut state, &back(0, fence, 2)).1, Code::Ok);
    assert_eq!(propose(&mut state, &reboot(1, 1)).1, Code::Ok);
    assert_eq!(propose(&mut state, &reboot(0, 2)).1, Code::WaveClosed);
}

#[test]
fn older_loss() {
    // An entry sees a lost instance healthy again and is paused before it reports this. Another
    // entry reports it, and the instance is lost again. The late report of the first entry refers
    // to the earlier loss and must not free the budget.
    let mut state = base(1);
    let (first, _) = propose(&mut state, &lost(0, 1));
    propose(&mut state, &back(0, first, 1));
    propose(&mut state, &lost(0, 1));
    assert_eq!(propose(&mut state, &back(0, first, 1)).1, Code::GrantStale);
    assert_eq!(propose(&mut state, &reboot(1, 1)).1, Code::BudgetFull);
}

#[test]
fn late_cancel() {
    // One driver cancels a grant while another commits it. After a commit the reboot may happen at
    // any time, so a cancellation must be refused; after a cancellation, a commit must be refused.
    let mut state = base(1);
    let (fence, _) = propose(&mut state, &reboot(0, 1));
    propose(&mut state, &step("commit", 0, fence));
    assert_eq!(
        propose(&mut state, &step("cancel", 0, fence)).1,
        Code::WrongStage
    );
    propose(&mut state, &back(0, fence, 2));
    let (fence, _) = propose(&mut state, &reboot(1, 1));
    assert_eq!(propose(&mut state, &step("cancel", 1, fence)).1, Code::Ok);
    assert_eq!(
        propose(&mut state, &step("commit", 1, fence)).1,
        Code::GrantStale
    );
}

#[test]
fn loss_stops_commit() {
    // A rack is lost between grant and commit. The commit checks the budget again and is refused,
    // so the instance that was only draining stays up.
    let mut state = base(2);
    let (fence, _) = propose(&mut state, &reboot(0, 1));
    propose(&mut state, &lost(2, 1));
    propose(&mut state, &lost(3, 1));
    assert_eq!(
        propose(&mut state, &step("commit", 0, fence)).1,
        Code::BudgetFull
    );
    assert_eq!(propose(&mut state, &reboot(1, 1)).1, Code::BudgetFull);
}

#[test]
fn paused_wave() {
    let mut state = base(2);
    let (fence, _) = propose(&mut state, &reboot(0, 1));
    let pause = json!({"wave": {"number": 1, "paused": true}});
    assert_eq!(propose(&mut state, &pause).1, Code::Ok);
    assert_eq!(propose(&mut state, &reboot(1, 1)).1, Code::WaveClosed);
    assert_eq!(
        propose(&mut state, &step("commit", 0, fence)).1,
        Code::WaveClosed
    );
}

#[test]
fn move_switches() {
    let mut state = base(2);
    assert_eq!(propose(&mut state, &wanted(&[0])).1, Code::Ok);
    let (fence, _) = propose(&mut state, &take_move(0));
    assert_eq!(propose(&mut state, &step("commit", 0, fence)).1, Code::Ok);
    assert_eq!(
        state.config().instances.get("w0").unwrap().pool.as_str(),
        "spare"
    );
    assert!(state.disruptions().is_drained(&"w0".parse().unwrap()));
    assert_eq!(budget(&state, "render").members, 5);
    assert_eq!(budget(&state, "spare").members, 0);
    assert_eq!(propose(&mut state, &back(0, fence, 1)).1, Code::Ok);
    assert_eq!(budget(&state, "spare").members, 1);
}

#[test]
fn racing_moves() {
    // Two plans each move one instance out of a pool. After either of them the pool can still meet
    // its demand of 24 slots if a rack is lost; after both it cannot, so the second is refused.
    let mut state = base(2);
    propose(&mut state, &wanted(&[0, 2]));
    assert_eq!(propose(&mut state, &take_move(0)).1, Code::Ok);
    assert_eq!(propose(&mut state, &take_move(2)).1, Code::NoRoom);
}

#[test]
fn older_list() {
    // A driver is granted the move of an instance and is paused. Operators replace the list of
    // moves; when the driver resumes, it must not move the instance to a pool where it is no
    // longer wanted.
    let mut state = base(2);
    propose(&mut state, &wanted(&[0]));
    let (fence, _) = propose(&mut state, &take_move(0));
    propose(&mut state, &wanted(&[1]));
    let late = propose(&mut state, &step("commit", 0, fence)).1;
    assert_eq!(late, Code::GrantStale);
    assert_eq!(propose(&mut state, &step("cancel", 0, fence)).1, Code::Ok);
    assert_eq!(propose(&mut state, &take_move(0)).1, Code::GrantStale);
}

#[test]
fn tickets_respect_outages() {
    let mut state = base(2);
    let (fence, _) = propose(&mut state, &reboot(0, 1));
    propose(&mut state, &reboot(1, 1));
    let smaller = ticket(2, json!([service("reels", 1, 16)]));
    assert_eq!(propose(&mut state, &smaller).1, Code::BudgetFull);
    let leaves = ticket(3, json!([instance(2, "spare")]));
    assert_eq!(propose(&mut state, &leaves).1, Code::BudgetFull);
    propose(&mut state, &step("commit", 0, fence));
    let gone = ticket(4, json!([{"remove": {"instance": "w0"}}]));
    assert_eq!(propose(&mut state, &gone).1, Code::InstanceHeld);
    propose(&mut state, &back(0, fence, 2));
    let drained = ticket(5, json!([instance(1, "spare")]));
    assert_eq!(propose(&mut state, &drained).1, Code::Ok);
    assert_eq!(budget(&state, "render").down, 0);
}

/// Creates a record from three random bytes.
fn random_record(state: &State, number: u64, [kind, who, more]: [u8; 3]) -> Value {
    let n = usize::from(who) % 6;
    let id: InstanceId = format!("w{n}").parse().unwrap();
    let incarnation = state.disruptions().last_incarnation(&id).get().max(1);
    let outage = state.disruptions().outage(&id);
    // Without an outage in progress, the step names a fencing token that is not current.
    let fence = outage
        .map_or(Offset::new(u64::from(more)), |o| o.fence)
        .get();
    let pool = ["render", "spare"][usize::from(more) % 2];
    match kind % 13 {
        0..3 => reboot(n, incarnation),
        3 => take_move(n),
        4..6 => step("commit", n, fence),
        6 => step("cancel", n, fence),
        7..9 => back(n, fence, incarnation + u64::from(more % 2)),
        9 => lost(n, incarnation),
        10 => ticket(number, json!([instance(n, pool)])),
        11 => wanted(&[n]),
        _ => ticket(number, json!([service("reels", u64::from(more % 4), 16)])),
    }
}

fn planned_outages(state: &State, pool: &str) -> u32 {
    let inside = |id: &InstanceId| {
        let found = state.config().instances.get(id);
        found.is_some_and(|i| i.pool.as_str() == pool)
    };
    let outages = state.disruptions().outages();
    let planned = outages.filter(|o| o.uses_budget() && o.stage != Stage::Lost);
    planned.filter(|o| inside(&o.instance)).count() as u32
}

fn keeps_budgets(history: Vec<(u8, u8, u8)>) -> bool {
    let mut state = base(2);
    for (number, (kind, who, more)) in (2..).zip(history) {
        let record = random_record(&state, number, [kind, who, more]);
        let before = state.clone();
        let (_, code) = propose(&mut state, &record);
        let budget = budget(&state, "render");
        let now = planned_outages(&state, "render");
        let started = now > planned_outages(&before, "render");
        let kept = now <= budget.allowed() && (!started || budget.excess(0).is_none());
        assert!(kept, "{record} gave {budget:?}, planned {now}");
        assert!(code == Code::Ok || state.config() == before.config());
    }
    true
}

#[test]
fn any_history() {
    check(4101, 3_000, keeps_budgets as fn(Vec<(u8, u8, u8)>) -> bool);
}
