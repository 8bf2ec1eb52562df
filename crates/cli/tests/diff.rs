//! Tests of the comparison between a ticket and the objects in force.

use std::fs;
use std::path::Path;

use cactuswheel_cli::{DiffRow, diff};
use cactuswheel_fleet::State;
use cactuswheel_model::{Record, Ticket};
use serde_json::{Value, json};

/// Compares a ticket with `changes` to a fleet that has a pool `render` and a team `ads`.
fn rows(changes: Value) -> Vec<DiffRow> {
    let mut state = State::default();
    let first = json!({"ticket": {"ticket": 1, "changes": [
        {"pool": {"id": "render"}}, {"team": {"id": "ads", "share": 1, "limit": 8}}]}});
    state.apply(state.next(), &first.to_string());
    let config = serde_json::to_value(state.config()).unwrap();
    let ticket: Ticket = serde_json::from_value(json!({"ticket": 2, "changes": changes})).unwrap();
    diff(&config, &ticket).unwrap()
}

#[test]
fn added_same() {
    let rows = rows(json!([{"pool": {"id": "x"}}, {"pool": {"id": "render"}}]));
    let actions: Vec<_> = rows.iter().map(|r| (r.object.as_str(), r.action)).collect();
    assert_eq!(actions, [("pool x", "add"), ("pool render", "same")]);
}

#[test]
fn changed_field() {
    let rows = rows(json!([{"team": {"id": "ads", "share": 1, "limit": 16}}]));
    assert_eq!(rows[0].action, "change");
    let fields = serde_json::to_value(&rows[0].fields).unwrap();
    assert_eq!(
        fields,
        json!([{"field": "limit", "before": 8, "after": 16}])
    );
}

#[test]
fn removed_missing() {
    let rows = rows(json!([{"remove": {"pool": "render"}}, {"remove": {"pool": "none"}}]));
    let actions: Vec<_> = rows.iter().map(|r| r.action).collect();
    assert_eq!(actions, ["remove", "missing"]);
}

#[test]
fn applied_same() {
    // Comparing a ticket with the state after it was applied shows no difference.
    let mut state = State::default();
    for file in ["platno/1-objects.json", "platno/2-instances.json"] {
        let path = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../examples")
            .join(file);
        let ticket: Ticket = serde_json::from_slice(&fs::read(path).unwrap()).unwrap();
        let record = Record::Ticket(ticket.clone());
        state.apply(state.next(), &serde_json::to_string(&record).unwrap());
        let config = serde_json::to_value(state.config()).unwrap();
        let rows = diff(&config, &ticket).unwrap();
        assert_eq!(rows.len(), ticket.changes.len());
        assert!(rows.iter().all(|r| r.action == "same"), "{rows:?}");
    }
}
