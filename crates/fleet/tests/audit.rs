//! The audit trail: what changed, who changed it, and what was refused.

use cactuswheel_fleet::{Snapshot, State};
use cactuswheel_model::{Code, Digest, ObjectId, Offset};
use serde_json::{Value, json};

fn put(state: &mut State, ticket: u64, author: &str, changes: Value) {
    let body = json!({"ticket": {"ticket": ticket, "author": author, "at": 1000 + ticket,
        "changes": changes}});
    state.apply(state.next(), &body.to_string());
}

fn team(limit: u32) -> Value {
    json!({"team": {"id": "ads", "share": 1, "limit": limit}})
}

fn rows(state: &State, object: &str) -> Vec<Value> {
    let object: ObjectId = object.parse().unwrap();
    let rows = state.audit().query(Some(&object), None, 100);
    rows.iter().map(|r| json!(r)).collect()
}

#[test]
fn before_after() {
    let mut state = State::default();
    put(&mut state, 1, "ana", json!([team(8)]));
    put(&mut state, 2, "bor", json!([team(4)]));
    put(&mut state, 3, "ana", json!([{"remove": {"team": "ads"}}]));
    let rows = rows(&state, "team/ads");
    assert_eq!(rows.len(), 3);
    assert!(rows[0]["before"].is_null());
    assert_eq!(rows[1]["author"], "bor");
    assert_eq!(rows[1]["at"], 1002);
    assert_eq!(rows[1]["before"]["team"]["limit"], 8);
    assert_eq!(rows[1]["after"]["team"]["limit"], 4);
    assert!(rows[2]["after"].is_null());
}

#[test]
fn refused_ticket() {
    let mut state = State::default();
    put(&mut state, 1, "ana", json!([team(8)]));
    put(&mut state, 1, "bor", json!([team(9)]));
    put(&mut state, 1, "ana", json!([team(8)]));
    let rows = rows(&state, "team/ads");
    assert_eq!(rows.len(), 2, "a repeat is no row");
    assert_eq!(rows[1]["code"], Code::TicketUsed.number());
    assert_eq!(rows[1]["author"], "bor");
    assert!(rows[1].get("after").is_none());
}

#[test]
fn bounded_rows() {
    let mut state = State::default();
    for n in 0..5000 {
        put(&mut state, n + 1, "ana", json!([team(n as u32)]));
    }
    let all: Vec<_> = state.audit().rows().collect();
    assert_eq!(all.len(), 4000);
    assert_eq!(all[0].offset, Offset::new(1000));
    let some = state.audit().query(None, Some(Offset::new(4000)), 5);
    assert_eq!(some[0].offset, Offset::new(4000));
    assert_eq!(some.len(), 5);
}

#[test]
fn no_key() {
    let mut state = State::default();
    let digest = Digest::of(b"secret").to_string();
    let key = json!({"key": {"digest": digest, "team": "ads"}});
    put(&mut state, 1, "ana", json!([team(8), key]));
    let text = Snapshot::of(&state).unwrap().text().to_owned();
    assert!(text.contains(&digest) && !text.contains("secret"));
    assert_eq!(rows(&state, &format!("key/{digest}")).len(), 1);
}

#[test]
fn planned_move() {
    let mut state = State::default();
    let instance = |id: &str| {
        json!({"instance": {"id": id, "pool": "spare", "dc": "lj1", "rack": "r1", "cores": 1,
            "memory": 1, "slots": 1, "conns": 1}})
    };
    let changes = json!([{"dc": {"id": "lj1", "region": "lj"}}, {"pool": {"id": "spare"}},
        {"pool": {"id": "render"}}, instance("w1"), instance("w2")]);
    put(&mut state, 1, "ana", changes);
    let take = json!({"disruption": {"take": {"instance": "w1", "incarnation": 1, "holder": "e1",
        "purpose": {"move": {"from": "spare", "to": "render"}}}}});
    let commit = json!({"disruption": {"commit": {"instance": "w1", "fence": 2}}});
    let wanted = json!({"moves": {"moves": [{"instance": "w1", "from": "spare", "to": "render"}]}});
    state.apply(state.next(), &wanted.to_string());
    state.apply(state.next(), &take.to_string());
    state.apply(state.next(), &commit.to_string());
    let rows = rows(&state, "instance/w1");
    assert_eq!(rows.len(), 2, "{rows:?}");
    assert_eq!(rows[1]["before"]["instance"]["pool"], "spare");
    assert_eq!(rows[1]["after"]["instance"]["pool"], "render");
    assert_eq!(rows[1]["detail"], "move granted at offset 2");
}
