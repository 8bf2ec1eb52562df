//! The rules for tickets, by example.

use cactuswheel_fleet::{Applied, State};
use cactuswheel_model::{Code, Offset};
use serde_json::{Value, json};

fn code(state: &mut State, ticket: u64, changes: Value) -> Code {
    let body = json!({"ticket": {"ticket": ticket, "changes": changes}}).to_string();
    match state.apply(state.next(), &body) {
        Applied::Ticket(outcome) => outcome.code,
        other => panic!("{other:?}"),
    }
}

fn instance(id: &str, pool: &str) -> Value {
    json!({"instance": {"id": id, "pool": pool, "dc": "lj1", "rack": "r1", "cores": 64,
        "memory": 131072, "slots": 8, "conns": 64}})
}

fn base() -> State {
    let mut state = State::default();
    let changes = json!([
        {"dc": {"id": "lj1", "region": "lj"}},
        {"pool": {"id": "render"}},
        {"pool": {"id": "spare", "spare": true}},
        {"service": {"id": "reels", "pool": "render", "max_down": 1}},
        {"team": {"id": "ads", "share": 1, "limit": 8}},
        instance("w1", "render"),
        instance("w2", "render"),
        instance("w3", "render"),
    ]);
    assert_eq!(code(&mut state, 10, changes), Code::Ok);
    state
}

#[test]
fn whole_ticket() {
    let mut state = base();
    let before = state.config().clone();
    let changes = json!([{"pool": {"id": "new"}}, instance("w9", "nowhere")]);
    assert_eq!(code(&mut state, 11, changes), Code::MissingReference);
    assert_eq!(*state.config(), before);
}

#[test]
fn used_number() {
    let mut state = base();
    let first = json!([{"pool": {"id": "a"}}]);
    assert_eq!(code(&mut state, 11, first.clone()), Code::Ok);
    assert_eq!(
        code(&mut state, 11, json!([{"pool": {"id": "b"}}])),
        Code::TicketUsed
    );
    assert_eq!(code(&mut state, 11, first), Code::Ok);
    assert!(!state.config().pools.contains("b"));
}

#[test]
fn lower_number() {
    let mut state = base();
    assert_eq!(
        code(&mut state, 12, json!([instance("w1", "spare")])),
        Code::Ok
    );
    assert_eq!(
        code(&mut state, 11, json!([instance("w1", "render")])),
        Code::TicketStale
    );
    assert_eq!(
        state.config().instances.get("w1").unwrap().pool.as_str(),
        "spare"
    );
}

#[test]
fn removed_object() {
    let mut state = base();
    assert_eq!(
        code(&mut state, 13, json!([{"remove": {"instance": "w1"}}])),
        Code::Ok
    );
    assert_eq!(
        code(&mut state, 12, json!([instance("w1", "render")])),
        Code::TicketStale
    );
    assert!(!state.config().instances.contains("w1"));
}

#[test]
fn still_used() {
    let mut state = base();
    assert_eq!(
        code(&mut state, 11, json!([{"remove": {"pool": "render"}}])),
        Code::StillUsed
    );
    assert_eq!(
        code(&mut state, 12, json!([{"remove": {"dc": "lj1"}}])),
        Code::StillUsed
    );
}

#[test]
fn withdrawn_key() {
    let mut state = base();
    let digest = cactuswheel_model::Digest::of(b"k").to_string();
    let key = |gone: bool| json!([{"key": {"digest": digest, "team": "ads", "withdrawn": gone}}]);
    assert_eq!(code(&mut state, 11, key(false)), Code::Ok);
    assert_eq!(code(&mut state, 12, key(true)), Code::Ok);
    assert_eq!(code(&mut state, 13, key(false)), Code::BadTicket);
}

#[test]
fn empty_budget() {
    let mut state = base();
    let service = |max: u32| json!([{"service": {"id": "x", "pool": "render", "max_down": max}}]);
    assert_eq!(code(&mut state, 11, service(3)), Code::BudgetImpossible);
    assert_eq!(code(&mut state, 12, service(2)), Code::Ok);
    assert_eq!(
        code(&mut state, 13, json!([instance("w1", "spare")])),
        Code::BudgetImpossible
    );
}

#[test]
fn bad_record() {
    let mut state = base();
    let before = state.config().clone();
    assert!(matches!(
        state.apply(state.next(), "{\"ticket\":"),
        Applied::Undecodable(_)
    ));
    assert_eq!(*state.config(), before);
    assert_eq!(state.next(), Offset::new(2));
}

#[test]
fn repeated_offset() {
    let mut state = base();
    let body = json!({"ticket": {"ticket": 50, "changes": [{"pool": {"id": "z"}}]}}).to_string();
    assert_eq!(state.apply(Offset::new(0), &body), Applied::AlreadyApplied);
    assert!(!state.config().pools.contains("z"));
}
