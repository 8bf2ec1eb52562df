//! The rate limit of appends of one entry.

use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_platform::{AppendBudget, AppendPurpose};

#[test]
fn long_run() {
    let mut budget = AppendBudget::new(AppendPurpose::Ticket);
    let mut now = Time::new(10_000);
    for _ in 0..104 {
        now = now.after(budget.take(now));
    }
    assert_eq!(now.since(Time::new(10_000)), Duration::from_secs(50));
}

#[test]
fn quiet_burst() {
    let mut budget = AppendBudget::new(AppendPurpose::Ticket);
    let now = Time::new(10_000);
    let waits: Vec<_> = (0..6).map(|_| budget.take(now).as_millis()).collect();
    assert_eq!(waits, [0, 0, 0, 0, 500, 1000]);
}
