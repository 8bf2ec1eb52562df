//! Begin and end of a hold.

use std::time::Duration;

use cactuswheel_demand::{Blockage, Cause, HoldChange, HoldPolicy, OutageHold};
use cactuswheel_model::{Millis, Time};

fn blocked(age: u64) -> Option<Blockage> {
    let age = Duration::from_millis(age);
    let cause = Cause::Journal;
    Some(Blockage { cause, age })
}

fn enabled() -> OutageHold {
    OutageHold::new(HoldPolicy {
        enabled: true,
        ..HoldPolicy::default()
    })
}

fn at(ms: u64) -> Time {
    Time::new(100_000 + ms)
}

/// Guards against a pool that shrinks by the silence of a journal: the hold reaches back to the
/// moment from which no arrivals were seen.
#[test]
fn reaches_back() {
    let mut hold = enabled();
    assert_eq!(hold.observe(at(0), None), None);
    assert_eq!(hold.since(), None);
    let begun = hold.observe(at(400), blocked(350));
    assert!(matches!(begun, Some(HoldChange::Begun(_))), "{begun:?}");
    assert_eq!(hold.since(), Some(at(50)));
    assert_eq!(hold.observe(at(500), blocked(450)), None);
    assert_eq!(hold.since(), Some(at(50)), "one outage, one begin");
}

/// Guards against a pool that shrinks as soon as the store is back, before the refused callers are:
/// the hold goes on for the time to settle, and then ends.
#[test]
fn settles_after() {
    let mut hold = enabled();
    hold.observe(at(400), blocked(300));
    hold.observe(at(5_000), blocked(4_900));
    assert_eq!(hold.observe(at(6_900), None), None);
    assert!(hold.since().is_some());
    let Some(HoldChange::Ended(end)) = hold.observe(at(7_000), None) else {
        panic!("the hold goes on");
    };
    assert!(!end.expired);
    assert_eq!(end.outage, Duration::from_millis(4_900));
    assert_eq!(hold.since(), None);
}

/// Guards against pools that are paid for without work for as long as a store is away: a hold has a
/// limit, and the same outage begins no second one.
#[test]
fn has_a_limit() {
    let mut hold = enabled();
    let mut changes = Vec::new();
    for step in 0..400 {
        changes.extend(hold.observe(at(step * 100), blocked(step * 100)));
    }
    assert_eq!(changes.len(), 2, "{changes:?}");
    assert!(matches!(changes[1], HoldChange::Ended(end) if end.expired));
    assert_eq!(hold.since(), None);
    for step in 400..440 {
        assert_eq!(hold.observe(at(step * 100), None), None);
    }
    let next = hold.observe(at(50_000), blocked(300));
    assert!(matches!(next, Some(HoldChange::Begun(_))), "{next:?}");
}

/// Guards against an owner that is lost in the middle of an outage: the next one's hold reaches
/// back to the last arrival that the journal has.
#[test]
fn owner_lost() {
    let mut hold = enabled();
    // The store fails again before the new owner has planned anything.
    assert!(hold.observe(at(3_900), blocked(50)).is_some());
    assert_eq!(hold.take_over(at(0), at(4_000)), None);
    assert_eq!(hold.since(), Some(at(0)));
    assert_eq!(hold.observe(at(4_100), blocked(50)), None);
    assert_eq!(hold.since(), Some(at(0)));
}

#[test]
fn switched_off() {
    let mut hold = OutageHold::default();
    assert_eq!(hold.observe(at(0), blocked(5_000)), None);
    assert_eq!(hold.take_over(at(0), at(5_000)), None);
    assert_eq!(hold.since(), None);
}

#[test]
fn limits_of_settings() {
    assert_eq!(HoldPolicy::default().validate(), None);
    let policy = HoldPolicy {
        settle: Millis::new(60_001),
        ..HoldPolicy::default()
    };
    assert_eq!(policy.validate().map(|v| v.0), Some("settle_ms"));
}
