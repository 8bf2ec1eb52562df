//! Owns the cell while the store says so: feeds it what happens and carries out what it asks.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use cactuswheel_capacity::LastOwner;
use cactuswheel_cell::{Cell, Known, Output, Reads};
use cactuswheel_model::Time;
use cactuswheel_work::{InstanceOutcome, JobId, StartOutcome};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, timeout};

use crate::dispatcher::Dispatcher;
use crate::event::{Ask, Event};
use crate::fleet::Fleet;
use crate::hand_ins::HandIns;
use crate::intake_follower::{Intaken, follow_intake, read_intake};
use crate::owner_handle::OwnerHandle;
use crate::peer::{JobAnswer, QueueAnswer};
use crate::relay_request::{Report, Reports};
use crate::role::Role;
use crate::roster;
use crate::shared::Shared;
use crate::takeover::{TakeoverError, apply_intake, take_over};
use crate::topics::part_of;
use crate::view::{cell_view, job_view};

/// Events that may wait; each task that sends them has one or two under way.
const QUEUE_CAPACITY: usize = 4_096;

/// Pause after the cell could not be taken over.
const TAKEOVER_RETRY: Duration = Duration::from_millis(300);

/// Owns the cell whenever `role` says so.
pub(crate) async fn run(shared: Arc<Shared>, mut role: watch::Receiver<Role>) {
    loop {
        let now = *role.borrow_and_update();
        if let Role::Owner {
            epoch,
            alone,
            before,
        } = now
        {
            let mut changed = role.clone();
            tokio::select! {
                () = own_cell(shared.clone(), epoch, alone, before) => {
                    // Failure: the ownership is renewed for a cell that nobody runs any more;
                    // jobs stand still and no other node takes over. Claiming it anew under
                    // the next number either takes the cell over again or shows who has it.
                    shared.reclaim.store(true, Ordering::Release);
                }
                _ = changed.wait_for(|r| *r != now) => {
                    log::warn!(epoch = epoch; "ownership is over");
                }
            }
            shared.own.store(None);
            shared.metrics.owns(0);
        }
        if role.wait_for(|r| *r != now).await.is_err() {
            return;
        }
    }
}

/// Owns the cell until a newer owner is met.
async fn own_cell(shared: Arc<Shared>, epoch: u64, alone: bool, before: Option<LastOwner>) {
    let takeover = loop {
        match take_over(&shared, epoch, alone).await {
            Ok(takeover) => break takeover,
            Err(e @ TakeoverError::Deposed) => {
                log::warn!(epoch = epoch, error:% = e; "cell not taken over");
                return;
            }
            Err(e @ TakeoverError::TooLarge { .. }) => {
                log::error!(epoch = epoch, error:% = e; "cell not taken over: others go first");
                shared.decline();
                return;
            }
            Err(e) => {
                log::error!(epoch = epoch, error:% = e; "cell not taken over");
                sleep(TAKEOVER_RETRY).await;
            }
        }
    };
    shared.metrics.owns(epoch);
    let (events, inbox) = mpsc::channel(QUEUE_CAPACITY);
    let spawn_follower = |(part, from): (usize, &u64)| {
        let (shared, events) = (shared.clone(), events.clone());
        AbortOnDrop(tokio::spawn(follow_intake(
            shared,
            events,
            part as u32,
            *from,
        )))
    };
    let _intake: Vec<AbortOnDrop> = takeover
        .offsets
        .iter()
        .enumerate()
        .map(spawn_follower)
        .collect();
    let _roster = AbortOnDrop(tokio::spawn(roster::follow(shared.clone(), events.clone())));
    let owner = Owner {
        fleet: Fleet::start(
            shared.clone(),
            events.clone(),
            epoch,
            takeover.history,
            takeover.orders,
            before,
        ),
        dispatcher: Dispatcher::new(shared.clone(), events.clone(), epoch),
        cell: takeover.cell,
        reads: Reads::new(takeover.offsets),
        parked: Vec::new(),
        hand_ins: HandIns::new(shared.clone()),
        events: events.clone(),
        shared: shared.clone(),
    };
    shared.own.store(Some(Arc::new(OwnerHandle { events })));
    owner.run(inbox).await;
}

struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Somebody asks for a job that is not known: it may have been accepted a moment ago.
struct ParkedQuery {
    id: JobId,
    since: Time,
    reply: oneshot::Sender<JobAnswer>,
}

struct Owner {
    shared: Arc<Shared>,
    cell: Cell,
    dispatcher: Dispatcher,
    /// `None` where the platform has no service for instances.
    fleet: Option<Fleet>,
    reads: Reads,
    parked: Vec<ParkedQuery>,
    hand_ins: HandIns,
    events: mpsc::Sender<Event>,
}

/// Longest time that the cell is not looked at.
const MAX_SLEEP: Duration = Duration::from_millis(100);

impl Owner {
    async fn run(mut self, mut inbox: mpsc::Receiver<Event>) {
        loop {
            let now = self.shared.clock.now();
            let sleep = self.cell.wake().since(now).min(MAX_SLEEP);
            let first = timeout(sleep, inbox.recv()).await;
            let woken = Instant::now();
            let mut deposed = false;
            if let Ok(Some(event)) = first {
                deposed |= self.handle_event(event);
                while let Ok(event) = inbox.try_recv() {
                    deposed |= self.handle_event(event);
                }
            }
            self.apply_operators();
            for report in self.dispatcher.expire_overdue() {
                self.handle_report(report);
            }
            self.hand_ins.hand_in(&mut self.cell);
            self.answer_parked();
            if let Some(fleet) = &mut self.fleet {
                fleet.plan(&mut self.cell);
            }
            self.cell.confirmed(self.shared.lead_age());
            self.cell.link_is_full(self.dispatcher.is_link_full());
            self.cell.name_specs(self.dispatcher.omits_specs());
            let outputs = self
                .cell
                .poll(self.shared.clock.now(), self.shared.clock.wall());
            for output in outputs {
                match output {
                    Output::Deposed { worker, .. } => {
                        log::warn!(worker:% = worker; "a worker obeys a newer owner");
                        deposed = true;
                    }
                    Output::Accepted(jobs) => self.hand_ins.accepted(&jobs),
                    output => self.dispatcher.execute(output),
                }
            }
            self.dispatcher.flush(self.hand_ins.origins());
            self.dispatcher.add_busy(woken.elapsed());
            self.shared.metrics.tallied(self.cell.take_tallies());
            if deposed {
                log::warn!("ownership is over: a newer owner is at work");
                return;
            }
        }
    }

    /// Takes over what the operators have written since.
    fn apply_operators(&mut self) {
        let now = self.shared.clock.now();
        if let Some(config) = self.shared.config.load().as_ref()
            && config.version > self.cell.version()
        {
            self.cell.configure(now, config.clone());
        }
        self.cell.evacuate_zones(now, &self.shared.evacuated.load());
    }

    /// Takes an event; true if a newer owner is at work.
    fn handle_event(&mut self, event: Event) -> bool {
        let now = self.shared.clock.now();
        match event {
            Event::HandIn(handed) => self.hand_ins.take(&self.cell, handed),
            Event::Intake(read) => self.handle_intake(read),
            Event::IntakeRead(part) => {
                self.reads.over(part);
                self.answer_parked();
            }
            Event::Worker(entry) => {
                self.dispatcher.add_worker(&entry);
                self.cell.list(now, entry);
            }
            Event::NoWorker(id) => {
                self.cell.unlist(now, &id);
                self.dispatcher.remove_worker(&id);
            }
            Event::Listed => self.dispatcher.mark_complete(),
            Event::Report(report) => self.handle_report(report),
            Event::Relayed(reports, reply) => {
                self.handle_relayed(reports);
                // A relay that has stopped waiting tells it again, which does no harm.
                let _ = reply.send(true);
            }
            Event::Offer(offer, reply) => {
                // A node that has stopped waiting offers again.
                let _ = reply.send(self.dispatcher.offer(offer));
            }
            Event::RelayLost(node, why) => {
                for report in self.dispatcher.drop_relay(&node, why) {
                    self.handle_report(report);
                }
            }
            Event::Appended(mark) => self.cell.appended(now, mark),
            Event::Deposed => return true,
            Event::Instances(instances, sent) => {
                if let Some(fleet) = &mut self.fleet {
                    fleet.set_instances(instances, sent);
                }
            }
            Event::Ordered(order, worker, outcome) => {
                if let Some(fleet) = &mut self.fleet {
                    fleet.order_done(&mut self.cell, &order, worker.as_ref(), outcome);
                }
                if outcome == InstanceOutcome::Done
                    && let Some(worker) = &worker
                {
                    self.dispatcher.remove_worker(worker);
                }
            }
            Event::Advised(step, good) => self.cell.advised(now, step, good),
            Event::Ask(ask) => self.answer_query(ask),
        }
        false
    }

    /// Answers a question; whoever has stopped waiting needs no answer.
    fn answer_query(&mut self, ask: Ask) {
        match ask {
            Ask::Job(id, reply) => self.answer_job(id, self.shared.clock.now(), reply),
            Ask::Standing(id, service, reply) => {
                let _ = reply.send((self.cell.standing(id), self.cell.waits(&service)));
            }
            Ask::View(reply) => drop(reply.send(cell_view(&self.cell))),
            Ask::Story(id, reply) => drop(reply.send(job_view(&self.cell, id))),
            Ask::Queue(name, reply) => {
                let pending = self.cell.pending(&name);
                drop(reply.send(QueueAnswer::Pending(pending)));
            }
        }
    }

    /// What became of an order to a worker.
    fn handle_report(&mut self, report: Report) {
        let now = self.shared.clock.now();
        match report {
            Report::Polled(id, number, answer) => {
                let outcome = match &answer {
                    Ok(_) => "ok",
                    Err(_) => "failed",
                };
                self.shared.metrics.looked(outcome);
                self.cell.looked(now, &id, number, answer);
            }
            // Relays' looks were made whole before.
            Report::Delta(..) => {}
            Report::Started(id, task, run, outcome) => {
                self.cell.started(now, &id, task, run, outcome);
            }
            Report::Paced(id, order, outcome) => self.cell.paced(now, &id, &order, outcome),
        }
    }

    fn handle_relayed(&mut self, reports: Reports) {
        for report in self.dispatcher.accept_reports(reports) {
            // Its relay may not have come by what the job runs.
            if let Report::Started(_, task, _, StartOutcome::NotSent) = &report {
                self.hand_ins.origins().remove(&task.job());
            }
            self.handle_report(report);
        }
    }

    fn handle_intake(&mut self, read: Intaken) {
        let now = self.shared.clock.now();
        for record in read.records {
            if let Some(value) = &record.value {
                apply_intake(&self.shared, &mut self.cell, now, &record.key, value);
            }
        }
        self.reads.taken(read.part, read.next, read.whole);
        self.answer_parked();
    }

    fn answer_parked(&mut self) {
        for parked in std::mem::take(&mut self.parked) {
            if !parked.reply.is_closed() {
                self.answer_job(parked.id, parked.since, parked.reply);
            }
        }
    }

    /// Says that there is no such job only when everything is known that was accepted before
    /// the question came: by fronts, in the intake, and by a newer owner, which there was none of
    /// when the ownership was confirmed since.
    fn answer_job(&mut self, id: JobId, since: Time, reply: oneshot::Sender<JobAnswer>) {
        let answer = match self.cell.state(id) {
            Some(state) => JobAnswer::Known {
                state,
                team: self.cell.team(id).cloned(),
            },
            None if self.is_up_to_date(id, since) => JobAnswer::Unknown,
            None => {
                self.parked.push(ParkedQuery { id, since, reply });
                return;
            }
        };
        // Whoever has stopped waiting needs no answer.
        let _ = reply.send(answer);
    }

    /// Whether every job of this one's partition is known that was accepted before `since`; sees
    /// to it that it will be.
    fn is_up_to_date(&mut self, id: JobId, since: Time) -> bool {
        if !self.shared.led_since(since) {
            return false;
        }
        let part = part_of(id, self.shared.settings.parts);
        match self.reads.ask(part, since) {
            Known::Yes => true,
            Known::Wait => false,
            Known::ReadFrom(from) => {
                let (shared, events) = (self.shared.clone(), self.events.clone());
                tokio::spawn(read_intake(shared, events, part, from));
                false
            }
        }
    }
}
