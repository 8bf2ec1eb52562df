//! One entry: the state machines of the fold, connected as in the daemon.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use cactuswheel_fleet::{Assembler, Replica, Snapshot, SnapshotPolicy, SnapshotTimer};
use cactuswheel_model::{Code, Digest, Offset, Record, Ticket, TicketNo, Time};
use cactuswheel_testkit::{FakeLogError, Node, Outbox};

use super::FakePlatform;

/// Maximum number of records read in one step; often fewer are read, so that an entry is still
/// catching up.
const MAX_BATCH: u64 = 40;

/// Time after which the outcome of a ticket is reported as unknown.
const TICKET_TIMEOUT: Duration = Duration::from_secs(10);

/// An outcome that was reported to an operator.
pub struct Answer {
    pub ticket: TicketNo,
    pub digest: Digest,
    pub code: Code,
}

#[derive(Clone)]
pub enum Message {
    Heartbeat(Offset),
    Request { from: Offset, needs_snapshot: bool },
    State(Offset, String),
    Records(Offset, Vec<String>),
}

struct Pending {
    ticket: Ticket,
    deadline: Time,
    retry_at: Time,
}

pub struct Entry {
    index: usize,
    /// Distinguishes the entry from the one that it replaced.
    pub life: u64,
    count: usize,
    pub replica: Replica,
    pub ready: bool,
    /// Number of records in the log that it had not applied when it became ready by reading the
    /// log.
    pub missed: u64,
    peer_head: Offset,
    timer: SnapshotTimer,
    last_next: Offset,
    log_down: bool,
    gap: bool,
    unsent_parts: VecDeque<String>,
    pending_mark: Option<String>,
    pending: Vec<Pending>,
    answers: Rc<RefCell<Vec<Answer>>>,
}

impl Entry {
    pub fn new(index: usize, life: u64, count: usize, answers: Rc<RefCell<Vec<Answer>>>) -> Self {
        let policy = SnapshotPolicy {
            records: 12,
            ..SnapshotPolicy::default()
        };
        Self {
            index,
            life,
            count,
            replica: Replica::default(),
            ready: false,
            missed: 0,
            peer_head: Offset::default(),
            timer: SnapshotTimer::new(policy, Time::default()),
            last_next: Offset::default(),
            log_down: false,
            gap: false,
            unsent_parts: VecDeque::new(),
            pending_mark: None,
            pending: Vec::new(),
            answers,
        }
    }

    pub fn next(&self) -> Offset {
        self.replica.state().next()
    }

    pub fn submit(&mut self, now: Time, ticket: Ticket) {
        self.pending.push(Pending {
            ticket,
            deadline: now.after(TICKET_TIMEOUT),
            retry_at: now,
        });
    }

    fn is_current(&self) -> bool {
        self.replica.is_current() && self.next() >= self.peer_head
    }

    fn read_log(&mut self, now: Time, platform: &mut FakePlatform) {
        if self.next() == Offset::default() {
            self.restore(platform, Offset::default());
        }
        match platform
            .fleet
            .read(self.next(), 1 + (now.get() % MAX_BATCH) as usize)
        {
            Ok(batch) => {
                (self.log_down, self.gap) = (false, false);
                self.replica.note_head(batch.head);
                self.replica.apply(batch.start, &batch.records).unwrap();
                if self.is_current() && !self.ready {
                    self.ready = true;
                    self.missed = platform.archive.len() as u64 - self.next().get();
                }
            }
            Err(FakeLogError::Trimmed(first)) => {
                self.log_down = false;
                self.gap = !self.restore(platform, first);
            }
            Err(_) => self.log_down = true,
        }
    }

    fn restore(&mut self, platform: &FakePlatform, need: Offset) -> bool {
        let Ok(batch) = platform
            .snapshots
            .read(platform.snapshots.first(), usize::MAX)
        else {
            return false;
        };
        let mut assembler = Assembler::default();
        for part in &batch.records {
            assembler.add_part(part).unwrap();
        }
        let found = assembler.into_newest().filter(|s| s.head() >= need);
        found.is_some_and(|s| self.replica.install(s.state().unwrap()))
    }

    fn write_snapshot(&mut self, now: Time, platform: &mut FakePlatform) {
        if let Some(part) = self.unsent_parts.pop_front() {
            if platform.snapshots.append(&[part]).is_err() {
                self.pending_mark = None;
            }
            return;
        }
        if let Some(mark) = self.pending_mark.take() {
            let _ = platform.append(&mark);
            return;
        }
        let state = self.replica.state().clone();
        let wait = Duration::from_millis(700 * self.index as u64);
        if self.ready && self.timer.step(now, &state, platform.fleet.first(), wait) {
            let snapshot = Snapshot::of(&state).unwrap();
            let mark = Record::Snapshot(snapshot.mark());
            self.pending_mark = Some(serde_json::to_string(&mark).unwrap());
            self.unsent_parts = snapshot.parts().into();
        }
    }

    /// As in `admin/tickets.rs` of the daemon: success is reported only once the ticket is read
    /// back from the log.
    fn retry_tickets(&mut self, now: Time, mut platform: Option<&mut FakePlatform>) {
        let pending = std::mem::take(&mut self.pending);
        for mut p in pending {
            let number = p.ticket.ticket;
            let found = self.replica.state().ledger().outcome(number).cloned();
            let code = match found {
                Some(first) if first.digest == p.ticket.digest() => Some(first.code),
                Some(_) => Some(Code::TicketUsed),
                None if now >= p.deadline => Some(Code::LogUnknown),
                None => None,
            };
            if let Some(code) = code {
                self.answers.borrow_mut().push(Answer {
                    ticket: number,
                    digest: p.ticket.digest(),
                    code,
                });
                continue;
            }
            if let (Some(platform), true) = (platform.as_deref_mut(), now >= p.retry_at) {
                let body = serde_json::to_string(&Record::Ticket(p.ticket.clone())).unwrap();
                let _ = platform.append(&body);
                p.retry_at = now.after(Duration::from_secs(1));
            }
            self.pending.push(p);
        }
    }

    fn send_messages(&mut self, post: &mut Outbox<Message>) {
        let next = self.next();
        let behind = next == self.last_next && self.peer_head > next;
        self.last_next = next;
        let log_lost = !self.ready && self.log_down;
        let needs_snapshot = !self.ready || self.gap;
        for to in (0..self.count).filter(|to| *to != self.index) {
            post.send(to, Message::Heartbeat(next));
            if behind || log_lost || self.gap {
                post.send(
                    to,
                    Message::Request {
                        from: next,
                        needs_snapshot,
                    },
                );
            }
        }
    }

    fn answer(
        &self,
        to: usize,
        mut from: Offset,
        needs_snapshot: bool,
        post: &mut Outbox<Message>,
    ) {
        if !self.ready {
            return;
        }
        let first = self.replica.recent().first();
        if needs_snapshot || from < first {
            let snapshot = Snapshot::of(self.replica.state()).unwrap();
            from = snapshot.head();
            post.send(to, Message::State(from, snapshot.text().to_owned()));
        }
        if let Some(bodies) = self
            .replica
            .recent()
            .read(from, MAX_BATCH as usize, 1 << 20)
        {
            let bodies = bodies.iter().map(|b| b.to_string()).collect();
            post.send(to, Message::Records(from, bodies));
        }
    }
}

impl Node for Entry {
    type Platform = FakePlatform;
    type Message = Message;

    fn step(
        &mut self,
        now: Time,
        mut platform: Option<&mut FakePlatform>,
        post: &mut Outbox<Message>,
    ) {
        match platform.as_deref_mut() {
            Some(platform) => {
                self.read_log(now, platform);
                self.write_snapshot(now, platform);
            }
            None => self.log_down = true,
        }
        self.retry_tickets(now, platform);
        self.send_messages(post);
    }

    fn receive(&mut self, _: Time, from: usize, message: Message, post: &mut Outbox<Message>) {
        match message {
            Message::Heartbeat(head) => self.peer_head = self.peer_head.max(head),
            Message::Request {
                from: next,
                needs_snapshot,
            } => self.answer(from, next, needs_snapshot, post),
            Message::State(head, text) => {
                let state = Snapshot::from_text(head, text).state().unwrap();
                self.replica.install(state);
                self.ready |= self.log_down && self.is_current();
            }
            Message::Records(first, bodies) => {
                // Records of a late answer may leave a gap; they are refused, and the entry
                // asks again.
                let _ = self.replica.apply(first, &bodies);
            }
        }
    }
}
