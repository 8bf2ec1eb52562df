//! Arrivals that earlier owners counted.

mod world;

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_cell::Cell;
use cactuswheel_model::Time;
use world::{bounds, config, job, steps};

/// Number of arrivals that a cell knows after restoring a job that was accepted `age` ago.
fn restored(cell: Cell, age: Duration) -> usize {
    let mut cell = cell;
    cell.restore_submission(Time::new(60_000), job(1, steps(1, 4, 700)), age);
    cell.finish_restore();
    let loads = cell.loads();
    let arrivals = loads.values().flat_map(|l| l.arrivals.values());
    arrivals.map(|a| a.restored.len()).sum()
}

/// Guards against an owner that takes over after an outage of seconds, and knows of no arrivals
/// from before it.
#[test]
fn before_an_outage() {
    let cell = || Cell::new(bounds(), 2, Arc::new(config()));
    let age = Duration::from_secs(6);
    assert_eq!(restored(cell(), age), 0, "without an outage");
    assert_eq!(
        restored(cell().with_outage(Duration::from_secs(15)), age),
        1
    );
}
