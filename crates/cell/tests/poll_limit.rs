//! Limit of a poll in flight whose outcome is not reported.

mod world;

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_cell::{Cell, Output};
use cactuswheel_model::Time;
use cactuswheel_work::PollOrder;
use world::{Delivery, FakeWorker, bounds, config};

const TICK: Duration = Duration::from_millis(10);

/// A cell with one worker that runs nothing and answers no poll by itself.
struct Owner {
    now: Time,
    cell: Cell,
    worker: FakeWorker,
}

impl Owner {
    fn new() -> Self {
        let now = Time::new(1_000_000);
        let mut cell = Cell::new(bounds(), 1, Arc::new(config()));
        cell.finish_restore();
        let worker = FakeWorker::new(0, now);
        cell.register_worker(now, worker.entry());
        Self { now, cell, worker }
    }

    /// Advances until the next poll is sent; returns the time that passed, and the poll.
    fn next_poll(&mut self) -> (Duration, u64, PollOrder) {
        let since = self.now;
        for _ in 0..1_000 {
            self.now = self.now.after(TICK);
            self.worker.step(self.now);
            for output in self.cell.poll(self.now, self.now.get()) {
                if let Output::PollWorker {
                    poll_number, order, ..
                } = output
                {
                    return (self.now.since(since), poll_number, order);
                }
            }
        }
        panic!("no poll is sent");
    }

    /// Answers polls until one is held open while the worker runs nothing; returns its wait.
    fn held_poll(&mut self) -> Duration {
        loop {
            let (_, number, order) = self.next_poll();
            if !order.wait.is_zero() {
                return order.wait;
            }
            let answer = self.worker.poll(&order, Delivery::Answered, self.now);
            let id = self.worker.id.clone();
            self.cell.poll_answered(self.now, &id, number, answer);
        }
    }
}

/// Guards against a healthy worker that counts as silent: a poll that the worker holds open is not
/// lost before its wait and the time for the report have passed.
#[test]
fn held_open() {
    let mut owner = Owner::new();
    let wait = owner.held_poll();
    let (passed, ..) = owner.next_poll();
    assert!(
        passed >= wait + bounds().poll_limit.duration(),
        "{passed:?}"
    );
}

/// Guards against a burst of polls to workers that do not answer: only the first retry is sent at
/// once, also where the outcome of no poll is reported.
#[test]
fn second_retry() {
    let mut owner = Owner::new();
    owner.held_poll();
    let (first, _, retry) = owner.next_poll();
    let limit = bounds().poll_limit.duration();
    assert!(first <= retry.wait + limit + TICK, "{first:?}");
    let (second, ..) = owner.next_poll();
    assert!(second >= retry.wait + limit + 10 * TICK, "{second:?}");
}
