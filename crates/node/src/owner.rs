//! The cell's event loop on its owner: feeds events to the cell and executes its outputs.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use cactuswheel_capacity::LastOwner;
use cactuswheel_cell::{Cell, Coverage, IntakeProgress, Output};
use cactuswheel_model::Time;
use cactuswheel_work::{InstanceOutcome, JobId, StartOutcome};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, timeout};

use crate::dispatcher::Dispatcher;
use crate::event::{Event, Query};
use crate::fleet::Fleet;
use crate::hand_ins::HandIns;
use crate::intake_follower::{IntakePage, follow_intake, read_intake};
use crate::owner_handle::OwnerHandle;
use crate::peer::{JobAnswer, Prospects, QueueAnswer};
use crate::relay_request::{Report, Reports};
use crate::role::Role;
use crate::roster;
use crate::shared::Shared;
use crate::takeover::{TakeoverError, apply_intake, take_over};
use crate::topics::intake_part;
use crate::view::{cell_view, job_view};

/// Capacity of the event queue. Each sending task has only one or two events in flight.
const QUEUE_CAPACITY: usize = 4_096;

/// Pause before a failed takeover is retried.
const TAKEOVER_RETRY: Duration = Duration::from_millis(300);

/// Runs the cell whenever `role` is [`Role::Owner`], until the sender of `role` is dropped.
pub(crate) async fn run(shared: Arc<Shared>, mut role: watch::Receiver<Role>) {
    loop {
        let current = *role.borrow_and_update();
        if let Role::Owner {
            epoch,
            alone,
            before,
        } = current
        {
            let mut changed = role.clone();
            shared.cell_active.send_replace(true);
            tokio::select! {
                () = run_cell(shared.clone(), epoch, alone, before) => {
                    // Without this, the node would keep renewing its ownership although it no
                    // longer runs the cell: jobs would stall and no other node would take over.
                    // Claiming the ownership again under the next epoch either takes the cell
                    // over again or reveals the current owner.
                    shared.reclaim.store(true, Ordering::Release);
                }
                _ = changed.wait_for(|r| *r != current) => {
                    log::warn!(epoch = epoch; "ownership ended; stopping the cell");
                }
            }
            shared.local_owner.store(None);
            shared.cell_active.send_replace(false);
            shared.metrics.set_epoch(0);
        }
        if role.wait_for(|r| *r != current).await.is_err() {
            return;
        }
    }
}

/// Takes the cell over and runs it until a newer owner is detected, or until the cell turns out
/// to be too large for this node.
async fn run_cell(shared: Arc<Shared>, epoch: u64, alone: bool, before: Option<LastOwner>) {
    let takeover = loop {
        match take_over(&shared, epoch, alone, before).await {
            Ok(takeover) => break takeover,
            Err(e @ TakeoverError::Deposed) => {
                log::warn!(epoch = epoch, error:% = e; "takeover abandoned");
                return;
            }
            Err(e @ TakeoverError::TooLarge { .. }) => {
                log::error!(
                    epoch = epoch, error:% = e;
                    "takeover abandoned; leaving the cell to other nodes"
                );
                shared.pause_claims();
                return;
            }
            Err(e) => {
                log::error!(epoch = epoch, error:% = e; "takeover failed; retrying");
                sleep(TAKEOVER_RETRY).await;
            }
        }
    };
    shared.metrics.set_epoch(epoch);
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
        reads: IntakeProgress::new(takeover.offsets),
        parked: Vec::new(),
        hand_ins: HandIns::new(shared.clone()),
        events: events.clone(),
        shared: shared.clone(),
    };
    shared
        .local_owner
        .store(Some(Arc::new(OwnerHandle { events })));
    owner.run(inbox).await;
}

/// Aborts a task when it is dropped.
struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A query for a job that the cell doesn't know. It is answered later, since the job may have been
/// accepted just before the query.
struct ParkedQuery {
    id: JobId,
    /// When the query arrived.
    since: Time,
    reply: oneshot::Sender<JobAnswer>,
}

/// The state of a running owner.
struct Owner {
    shared: Arc<Shared>,
    cell: Cell,
    dispatcher: Dispatcher,
    /// `None` if the settings name no instance service.
    fleet: Option<Fleet>,
    /// How far each intake partition has been read.
    reads: IntakeProgress,
    parked: Vec<ParkedQuery>,
    hand_ins: HandIns,
    events: mpsc::Sender<Event>,
}

/// Longest sleep between two polls of the cell.
const MAX_SLEEP: Duration = Duration::from_millis(100);

impl Owner {
    /// Handles events and polls the cell until a newer owner is detected.
    async fn run(mut self, mut inbox: mpsc::Receiver<Event>) {
        loop {
            let now = self.shared.clock.now();
            let sleep = self.cell.next_wake().since(now).min(MAX_SLEEP);
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
            self.cell.limit_state(self.shared.state_limits());
            for report in self.dispatcher.expire_overdue() {
                self.handle_report(report);
            }
            self.hand_ins.hand_in(&mut self.cell);
            self.answer_parked();
            if let Some(fleet) = &mut self.fleet {
                fleet.plan(&mut self.cell);
            }
            self.cell.set_ownership_age(self.shared.ownership_age());
            self.cell.hold_starts(!self.shared.holds_ownership());
            self.cell.set_link_full(self.dispatcher.is_link_full());
            self.cell.omit_specs(self.dispatcher.omits_specs());
            let outputs = self
                .cell
                .poll(self.shared.clock.now(), self.shared.clock.wall());
            for output in outputs {
                match output {
                    Output::Deposed { worker, .. } => {
                        log::warn!(
                            worker:% = worker;
                            "worker has seen the fencing token of a newer owner"
                        );
                        deposed = true;
                    }
                    Output::Accepted(jobs) => self.hand_ins.accepted(&self.cell, &jobs),
                    output => self.dispatcher.execute(output),
                }
            }
            self.dispatcher.flush(self.hand_ins.origins());
            self.dispatcher.add_busy(woken.elapsed());
            self.shared.metrics.add_tallies(self.cell.take_tallies());
            if deposed {
                log::warn!("ownership ended: a newer owner is active");
                return;
            }
        }
    }

    /// Passes the newest configuration and the evacuated zones on to the cell.
    fn apply_operators(&mut self) {
        let now = self.shared.clock.now();
        if let Some(config) = self.shared.config.load().as_ref()
            && config.version > self.cell.config_version()
        {
            self.cell.configure(now, config.clone());
        }
        self.cell
            .set_evacuated_zones(now, &self.shared.evacuated.load());
    }

    /// Handles an event. Returns true if it shows that a newer owner is active.
    fn handle_event(&mut self, event: Event) -> bool {
        let now = self.shared.clock.now();
        match event {
            Event::HandIn(request) => self.hand_ins.take(&self.cell, request),
            Event::Intake(page) => self.handle_intake(page),
            Event::IntakeReadDone(part) => {
                self.reads.finish_read(part);
                self.answer_parked();
            }
            Event::WorkerUpdated(entry) => {
                self.dispatcher.add_worker(&entry);
                self.cell.register_worker(now, entry);
            }
            Event::WorkerRemoved(id) => {
                self.cell.unregister_worker(now, &id);
                self.dispatcher.remove_worker(&id);
            }
            Event::RosterComplete => self.dispatcher.mark_complete(),
            Event::Report(report) => self.handle_report(report),
            Event::RelayReports(reports, reply) => {
                self.handle_relayed(reports);
                // A relay that has stopped waiting sends its reports again, which is harmless.
                let _ = reply.send(true);
            }
            Event::Offer(offer, reply) => {
                // A node that has stopped waiting repeats its offer.
                let _ = reply.send(self.dispatcher.offer(offer));
            }
            Event::RelayLost(node, term, why) => {
                for report in self.dispatcher.drop_relay(&node, term, why) {
                    self.handle_report(report);
                }
            }
            Event::Appended(batch) => self.cell.appended(now, batch),
            Event::Dropped(dropped, left) => {
                self.cell.submissions_dropped(&dropped, true);
                self.cell.submissions_dropped(&left, false);
            }
            Event::Deposed => return true,
            Event::Instances(instances, sent) => {
                self.cell.list_instances(&instances);
                if let Some(fleet) = &mut self.fleet {
                    fleet.set_instances(instances, sent);
                }
            }
            Event::InstanceOrdered(order, worker, outcome) => {
                if let Some(fleet) = &mut self.fleet {
                    fleet.order_done(&mut self.cell, &order, worker.as_ref(), outcome);
                }
                if outcome == InstanceOutcome::Done
                    && let Some(worker) = &worker
                {
                    self.dispatcher.remove_worker(worker);
                }
            }
            Event::PolicyAnswer(step, permits) => self.cell.advised(now, step, permits),
            Event::Query(query) => self.answer_query(query),
        }
        false
    }

    /// Answers a query. Failed sends are ignored: the caller has stopped waiting.
    fn answer_query(&mut self, query: Query) {
        match query {
            Query::Job(id, reply) => self.answer_job(id, self.shared.clock.now(), reply),
            Query::Standing(id, service, team, reply) => {
                let prospects = Prospects {
                    delay: self.cell.start_delay(&service, team.as_ref()),
                    room: self.cell.state_room(team.as_ref()),
                };
                let _ = reply.send((self.cell.standing(id), prospects));
            }
            Query::CellView(reply) => drop(reply.send(cell_view(&self.cell))),
            Query::JobView(id, reply) => drop(reply.send(job_view(&self.cell, id))),
            Query::Queue(name, reply) => {
                let pending = self.cell.pending_jobs(&name);
                drop(reply.send(QueueAnswer::Pending(pending)));
            }
        }
    }

    /// Passes the outcome of an order to a worker on to the cell.
    fn handle_report(&mut self, report: Report) {
        let now = self.shared.clock.now();
        match report {
            Report::Polled(id, number, answer) => {
                let outcome = match &answer {
                    Ok(_) => "ok",
                    Err(_) => "failed",
                };
                self.shared.metrics.polled(outcome);
                self.cell.poll_answered(now, &id, number, answer);
            }
            // The dispatcher has already expanded the poll deltas of relays.
            Report::Delta(..) => {}
            Report::Started(id, task, run, outcome) => {
                self.cell.start_answered(now, &id, task, run, outcome);
            }
            Report::Paced(id, order, outcome) => self.cell.pace_answered(now, &id, &order, outcome),
        }
    }

    /// Handles the reports of a relay.
    fn handle_relayed(&mut self, reports: Reports) {
        for report in self.dispatcher.accept_reports(reports) {
            // The relay may have failed to fetch the job's spec, so send the full spec
            // next time.
            if let Report::Started(_, task, _, StartOutcome::NotSent) = &report {
                self.hand_ins.origins().remove(&task.job());
            }
            self.handle_report(report);
        }
    }

    /// Takes records read from the intake into the cell.
    fn handle_intake(&mut self, page: IntakePage) {
        let now = self.shared.clock.now();
        for record in page.records {
            if let Some(value) = &record.value {
                apply_intake(&self.shared, &mut self.cell, now, &record.key, value);
            }
        }
        self.reads.mark_read(page.part, page.next, page.complete_at);
        self.answer_parked();
    }

    /// Tries again to answer the parked queries.
    fn answer_parked(&mut self) {
        for parked in std::mem::take(&mut self.parked) {
            if !parked.reply.is_closed() {
                self.answer_job(parked.id, parked.since, parked.reply);
            }
        }
    }

    /// Answers a query for a job, or parks it. The answer is [`JobAnswer::Unknown`] only if the
    /// cell knows every job accepted before the query arrived at `since`: the intake has been read
    /// up to a later time, which covers the jobs that front ends accepted, and the ownership has
    /// been confirmed since, which rules out that a newer owner accepted any.
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
        // A failed send means that the caller has stopped waiting.
        let _ = reply.send(answer);
    }

    /// Whether the cell knows every job accepted before `since` in the intake partition of `id`.
    /// If not, starts a read of that partition where one is needed.
    fn is_up_to_date(&mut self, id: JobId, since: Time) -> bool {
        if !self.shared.ownership_confirmed_since(since) {
            return false;
        }
        let part = intake_part(id, self.shared.settings.parts);
        match self.reads.check(part, since) {
            Coverage::Complete => true,
            Coverage::Wait => false,
            Coverage::ReadFrom(from) => {
                let (shared, events) = (self.shared.clone(), self.events.clone());
                tokio::spawn(read_intake(shared, events, part, from));
                false
            }
        }
    }
}
