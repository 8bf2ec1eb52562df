//! Polls of a worker that is registered again, joined with the relay's bookkeeping: the tests
//! deliver each order and each report themselves, in any order, and drop none by themselves.

mod world;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuswheel_cell::{Bounds, Cell, Output};
use cactuswheel_model::{Millis, Time};
use cactuswheel_relay::{
    Capacity, DeltaDecoder, DeltaEncoder, Offer, Pending, Relays, Reply, Route, Site,
};
use cactuswheel_work::{
    NodeName, OrderOutcome, PaceOrder, PollError, PollOrder, Running, WorkerEntry, WorkerId,
    WorkerStatus,
};
use world::{Delivery, FakeWorker, bounds, config, lasting};

const TICK: Duration = Duration::from_millis(10);

/// Longer than any poll, its timeouts and the delays between retries together.
const LONG: Duration = Duration::from_secs(30);

/// Time that the dispatcher adds to the wait of a poll for its deadline at a relay.
const POLL_LIMIT: Duration = Duration::from_millis(1_300);

/// Time beyond the wait of a poll within which it is reported as lost and, after a pause, sent again.
const REPORT_TIME: Duration = Duration::from_millis(2_300);

type Answer = Result<WorkerStatus, PollError>;

/// A run of the task with this index.
fn run(index: u32) -> Running {
    Running {
        task: format!("00000000000000aa.0.0.{index}")
            .parse()
            .expect("a valid task id"),
        run: 1,
        checkpoint: String::new(),
        percent: 10,
        gauge: 900,
    }
}

/// The status of a worker with one run, of the task with this index.
fn status(index: u32) -> WorkerStatus {
    WorkerStatus {
        clock: 1,
        born: 7,
        running: vec![run(index)],
        ended: Vec::new(),
    }
}

/// A poll as the owner sent it.
#[derive(Debug, Clone)]
struct SentPoll {
    number: u64,
    order: PollOrder,
}

/// An owner's cell, its relays, one relay and one worker.
struct Joined {
    now: Time,
    cell: Cell,
    relays: Relays,
    node: NodeName,
    worker: FakeWorker,
    /// The poll that the relay has in flight. Each poll that arrives replaces it, even an older one:
    /// the owner must not depend on the order in which relays receive polls.
    at_relay: Option<SentPoll>,
    /// The owner found that a newer one is active.
    deposed: bool,
}

impl Joined {
    fn new() -> Self {
        let now = Time::new(1_000_000);
        // The cell's own limit is too long to hide a poll that the dispatcher fails to report.
        let bounds = Bounds {
            poll_limit: Millis::new(60_000),
            ..bounds()
        };
        let mut cell = Cell::new(bounds, 1, Arc::new(config()));
        cell.finish_restore();
        let worker = FakeWorker::new(0, now);
        cell.register_worker(now, worker.entry());
        let mut relays = Relays::new(Capacity::for_link(1.0));
        relays.set_worker_count(100);
        let mut joined = Self {
            now,
            cell,
            relays,
            node: "n1".into(),
            worker,
            at_relay: None,
            deposed: false,
        };
        joined.beat();
        joined
    }

    /// The relay's offer or heartbeat.
    fn beat(&mut self) {
        let offer = Offer {
            node: self.node.clone(),
            life: 1,
            zone: "dc".into(),
            addr: SocketAddr::from(([127, 0, 0, 1], 7_000)),
            capacity: Capacity::for_link(250_000.0),
            clock: self.now,
            leaving: false,
        };
        assert_eq!(self.relays.handle_offer(self.now, offer), Reply::Wanted);
    }

    fn entry(&self) -> WorkerEntry {
        self.worker.entry()
    }

    /// One iteration of the owner's event loop; returns the polls of the worker that it sends.
    fn step(&mut self) -> Vec<SentPoll> {
        self.now = self.now.after(TICK);
        let now = self.now;
        self.worker.step(now);
        self.beat();
        for lost in self.relays.take_overdue(now) {
            if let Pending::Poll(number) = lost.order {
                let error = PollError::Unknown("relay did not report the outcome".into());
                self.cell
                    .poll_answered(now, &lost.worker, number, Err(error));
            }
        }
        let mut polls = Vec::new();
        for output in self.cell.poll(now, now.get()) {
            match output {
                Output::PollWorker {
                    worker,
                    poll_number,
                    order,
                    ..
                } if worker == self.worker.id => {
                    self.record_sent(poll_number, &order);
                    polls.push(SentPoll {
                        number: poll_number,
                        order,
                    });
                }
                Output::Start { worker, order, .. } => {
                    let outcome = self.worker.start(&order, Delivery::Answered, now);
                    let (task, run) = (order.task, order.run);
                    self.cell.start_answered(now, &worker, task, run, outcome);
                }
                Output::Append(batch) => self.cell.appended(now, batch.number),
                Output::Deposed { .. } => self.deposed = true,
                _ => {}
            }
        }
        polls
    }

    /// The same as the dispatcher does for a poll.
    fn record_sent(&mut self, number: u64, order: &PollOrder) {
        let worker = self.worker.id.clone();
        let site = Site::of(&self.entry());
        let route = self.relays.choose(self.now, &worker, Some(&site));
        assert_eq!(route, Route::Relay(self.node.clone()));
        let deadline = self.now.after(order.wait + POLL_LIMIT);
        self.relays
            .record_sent(&self.node, &worker, Pending::Poll(number), deadline);
    }

    /// Steps until the worker is polled, for at most `time`.
    fn next_poll(&mut self, time: Duration) -> Option<SentPoll> {
        let end = self.now.after(time);
        while self.now < end {
            if let Some(poll) = self.step().pop() {
                return Some(poll);
            }
        }
        None
    }

    /// Whether the worker is polled again although `lost` was not answered.
    fn is_polled_after(&mut self, lost: &SentPoll) -> bool {
        self.next_poll(lost.order.wait + REPORT_TIME).is_some()
    }

    /// The next poll, which is sent soon.
    fn poll_sent(&mut self) -> SentPoll {
        self.next_poll(LONG).expect("the worker is polled")
    }

    /// A poll arrives at the relay, in place of the one in flight.
    fn deliver(&mut self, poll: &SentPoll) {
        self.at_relay = Some(poll.clone());
    }

    /// The worker answers the poll that the relay has in flight.
    fn answer(&mut self) -> (u64, Answer) {
        let poll = self.at_relay.take().expect("the relay has a poll");
        let answer = self.worker.poll(&poll.order, Delivery::Answered, self.now);
        (poll.number, answer)
    }

    /// A report of the relay arrives at the owner.
    fn report(&mut self, (number, answer): (u64, Answer)) {
        let id = self.worker.id.clone();
        let order = Pending::Poll(number);
        self.relays.record_answer(&self.node, &id, &order);
        self.cell.poll_answered(self.now, &id, number, answer);
    }

    /// Sends a poll, and has it answered and reported; returns its number.
    fn exchange(&mut self) -> u64 {
        let poll = self.poll_sent();
        self.deliver(&poll);
        let answer = self.answer();
        self.report(answer);
        poll.number
    }

    /// A throttle order to a worker is not answered: its fencing token is raised above those of all
    /// workers, and it is polled at once.
    fn leave_unanswered(&mut self, id: &WorkerId) {
        let order = PaceOrder {
            task: run(0).task,
            run: 1,
            percent: 40,
            fence: 0,
        };
        self.cell
            .pace_answered(self.now, id, &order, OrderOutcome::Unknown);
    }

    /// Steps for `time`; each poll is answered and reported at once.
    fn run(&mut self, time: Duration) {
        let end = self.now.after(time);
        while self.now < end {
            for poll in self.step() {
                self.deliver(&poll);
                let answer = self.answer();
                self.report(answer);
            }
        }
    }

    /// The next poll reaches the relay and is replaced there by `late`, which is answered. Asserts
    /// that the worker is polled again.
    fn replace_by(&mut self, late: &SentPoll) {
        let newer = self.poll_sent();
        self.deliver(&newer);
        self.deliver(late);
        let answer = self.answer();
        self.report(answer);
        assert!(
            self.is_polled_after(&newer),
            "poll {} replaced poll {} at the relay, and no other poll was sent",
            late.number,
            newer.number
        );
    }

    /// The roster removes the worker, and the cell its record.
    fn unlist(&mut self) {
        let id = self.worker.id.clone();
        self.cell.unregister_worker(self.now, &id);
        self.relays.forget(&id);
        assert!(self.step().is_empty());
    }

    /// The roster lists the worker, in the same incarnation.
    fn list(&mut self) {
        let entry = self.entry();
        self.cell.register_worker(self.now, entry);
    }
}

/// Guards against a worker that is polled no more because a poll of its earlier record reaches the
/// relay late: the late poll replaces the newer one there, and its answer settles the newer one.
#[test]
fn late_order() {
    let mut joined = Joined::new();
    for _ in 0..5 {
        joined.exchange();
    }
    let late = joined.poll_sent();
    joined.unlist();
    joined.list();
    joined.exchange();
    joined.replace_by(&late);
}

/// Guards against the same where the record was removed because another worker answered at the
/// worker's address, which the roster does not report.
#[test]
fn address_reused() {
    let mut joined = Joined::new();
    for _ in 0..4 {
        joined.exchange();
    }
    let late = joined.poll_sent();
    let retry = joined.poll_sent();
    joined.report((retry.number, Err(PollError::OtherLife)));
    assert!(joined.step().is_empty());
    joined.list();
    joined.exchange();
    joined.replace_by(&late);
}

/// Guards against the same where the record was removed because the worker's instance moved away,
/// while the roster still repeats the worker's entry.
#[test]
fn retired_worker() {
    let mut joined = Joined::new();
    for _ in 0..5 {
        joined.exchange();
    }
    let late = joined.poll_sent();
    let id = joined.worker.id.clone();
    joined.cell.retire(&id);
    joined.relays.forget(&id);
    joined.list();
    joined.exchange();
    joined.replace_by(&late);
}

/// Guards against the same where the relay was lost and is taken again: its sender of orders still
/// carries out messages that it was sent before.
#[test]
fn relay_retaken() {
    let mut joined = Joined::new();
    for _ in 0..5 {
        joined.exchange();
    }
    let late = joined.poll_sent();
    joined.unlist();
    let node = joined.node.clone();
    joined.relays.remove_relay(&node, "silent");
    joined.beat();
    joined.list();
    joined.exchange();
    joined.replace_by(&late);
}

/// Guards against a worker that is polled no more because the report of a poll of its earlier
/// record arrives late, or a second time, and the answer to the newer poll is lost.
#[test]
fn late_report() {
    let mut joined = Joined::new();
    for _ in 0..5 {
        joined.exchange();
    }
    let earlier = joined.poll_sent();
    joined.deliver(&earlier);
    let late = joined.answer();
    joined.unlist();
    joined.list();
    let newer = joined.poll_sent();
    joined.report(late);
    assert!(
        joined.is_polled_after(&newer),
        "the report of poll {} settled poll {}, and no other poll was sent",
        earlier.number,
        newer.number
    );
}

/// Guards against the same without any loss: the relay handles two polls in reverse order, so the
/// older one replaces the newer one, which the late report has settled.
#[test]
fn reordered_polls() {
    let mut joined = Joined::new();
    for _ in 0..5 {
        joined.exchange();
    }
    let earlier = joined.poll_sent();
    joined.deliver(&earlier);
    let late = joined.answer();
    joined.unlist();
    joined.list();
    joined.exchange();
    let older = joined.poll_sent();
    let id = joined.worker.id.clone();
    joined.leave_unanswered(&id);
    let newer = joined.poll_sent();
    joined.report(late);
    joined.deliver(&newer);
    joined.deliver(&older);
    let answer = joined.answer();
    joined.report(answer);
    assert!(
        joined.is_polled_after(&newer),
        "poll {} replaced poll {}, which the report of poll {} had settled",
        older.number,
        newer.number,
        earlier.number
    );
}

/// The same order of events within one record does no harm: a late poll replaces the newer one at
/// the relay, and the newer one is reported as overdue.
#[test]
fn same_record() {
    let mut joined = Joined::new();
    for _ in 0..5 {
        joined.exchange();
    }
    let late = joined.poll_sent();
    joined.replace_by(&late);
}

/// Guards against a long-running task that is lost because the lease of its worker runs out: the
/// worker is polled no more, so neither the end of the run nor the silence is noticed.
#[test]
fn lease_runs_out() {
    let mut joined = Joined::new();
    joined.worker.lasting_jobs = vec![1];
    // More polls than the new record sends until the late one arrives.
    for _ in 0..200 {
        joined.exchange();
    }
    let late = joined.poll_sent();
    joined.unlist();
    joined.list();
    let now = joined.now;
    joined.cell.submit(now, lasting(1, 1, 1), Duration::ZERO);
    joined.run(Duration::from_secs(1));
    assert_eq!(joined.worker.run_count(), 1);
    let newer = joined.poll_sent();
    joined.deliver(&newer);
    joined.deliver(&late);
    let answer = joined.answer();
    joined.report(answer);
    joined.run(LONG);
    assert_eq!(
        joined.worker.run_count(),
        1,
        "the lease ran out, and the task was not started again"
    );
    assert_eq!(joined.worker.started.len(), 1, "its lease was renewed");
}

/// Guards against a worker whose state is taken from an answer to a poll of its earlier record that
/// has the same number as the newest poll.
#[test]
fn repeated_number() {
    let mut joined = Joined::new();
    let earlier = joined.poll_sent();
    joined.deliver(&earlier);
    let late = joined.answer();
    joined.unlist();
    joined.list();
    let newer = joined.poll_sent();
    joined.report(late);
    let next = joined.next_poll(TICK * 10);
    assert!(
        next.is_none(),
        "poll {} of the earlier record was taken for poll {}; {next:?} follows",
        earlier.number,
        newer.number
    );
}

/// Guards against rows of another poll: a delta whose base has the number of a poll of the worker's
/// earlier record, reported late or twice, must not be decoded with the rows of that poll.
#[test]
fn foreign_rows() {
    let mut joined = Joined::new();
    let (mut relay, mut owner) = (DeltaEncoder::default(), DeltaDecoder::default());
    let (id, node, now) = (joined.worker.id.clone(), joined.node.clone(), joined.now);
    let earlier = joined.poll_sent().number;
    let late = relay.encode(now, &id, earlier, status(0));
    // The relay got no reply to the message with this report.
    relay.clear();
    joined.unlist();
    owner.forget(&id);
    joined.list();
    let numbers = [joined.exchange(), joined.exchange()];
    let [first, second] = numbers.map(|n| relay.encode(now, &id, n, status(5)));
    assert!(owner.decode(&node, &id, numbers[0], first).is_some());
    owner.decode(&node, &id, earlier, late);
    let decoded = owner.decode(&node, &id, numbers[1], second);
    let tasks = decoded.map(|s| s.running.iter().map(|r| r.task).collect::<Vec<_>>());
    assert!(
        tasks.is_none() || tasks == Some(vec![run(5).task]),
        "the worker has task 5 only, but {tasks:?} was decoded"
    );
}

/// Guards against an owner that gives the cell up because its own earlier poll of a worker, which
/// arrives late, is refused for its old fencing token and has the same number as the newest poll.
#[test]
fn late_refusal() {
    let mut joined = Joined::new();
    joined.exchange();
    let late = joined.poll_sent();
    joined.unlist();
    let other = FakeWorker::new(1, joined.now);
    let now = joined.now;
    joined.cell.register_worker(now, other.entry());
    joined.leave_unanswered(&other.id);
    joined.list();
    joined.exchange();
    let newer = joined.poll_sent();
    assert!(late.order.fence < newer.order.fence);
    joined.deliver(&late);
    let answer = joined.answer();
    joined.report(answer);
    joined.step();
    assert!(
        !joined.deposed,
        "the refusal of poll {} of the earlier record ended the ownership",
        late.number
    );
}

/// Guards against a worker that is polled no more, without a log line, when the outcome of one poll
/// is never reported.
#[test]
fn never_reported() {
    let mut joined = Joined::new();
    let now = joined.now;
    let first = joined.cell.poll(now, now.get());
    let polled = |outputs: &[Output]| {
        let mut outputs = outputs.iter();
        outputs.any(|o| matches!(o, Output::PollWorker { .. }))
    };
    assert!(polled(&first));
    let again = (1..300).any(|n| {
        let at = now.after(Duration::from_millis(100) * n);
        polled(&joined.cell.poll(at, at.get()))
    });
    assert!(again, "a poll stays in flight without limit");
}
