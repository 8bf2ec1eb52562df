//! Application of incremental roster changes.

use cactuswheel_model::Incarnation;
use cactuswheel_platform::{Presence, RosterChanges, RosterEntry, RosterSnapshot};

fn entry(id: &str, incarnation: u64) -> RosterEntry {
    RosterEntry {
        id: id.parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        addr: "127.0.0.1:1".parse().unwrap(),
        presence: Presence::Live,
    }
}

fn snapshot(rows: &[(&str, u64)]) -> RosterSnapshot {
    RosterSnapshot {
        instances: rows.iter().map(|(id, n)| entry(id, *n)).collect(),
    }
}

#[test]
fn whole_replaces() {
    let changes = RosterChanges {
        whole: true,
        listed: vec![entry("b", 1)],
        ..RosterChanges::default()
    };
    assert_eq!(changes.apply(&snapshot(&[("a", 1)])), snapshot(&[("b", 1)]));
}

#[test]
fn part_merges() {
    let changes = RosterChanges {
        listed: vec![entry("c", 2), entry("aa", 1)],
        gone: vec!["b".parse().unwrap()],
        ..RosterChanges::default()
    };
    let old = snapshot(&[("a", 1), ("b", 1), ("c", 1)]);
    assert_eq!(
        changes.apply(&old),
        snapshot(&[("a", 1), ("aa", 1), ("c", 2)])
    );
    assert!(!changes.is_empty());
    assert!(RosterChanges::default().is_empty());
}
