//! Permissions (tickets) from the policy service, which restrict the workers of a step.

use cactuswheel_model::{Map, Set, Time};
use cactuswheel_work::{Advice, ServiceName, Step, StepId, WorkerId};

use crate::cell::Cell;
use crate::free_index::Scope;
use crate::output::Output;

/// Greatest number of workers in one request to the policy service. Each worker adds to the
/// response time, and a step seldom needs more; workers with the most free room are listed first.
const MAX_NAMED: usize = 12;

/// Fraction of a ticket's validity in which it is used; it still has to be valid when the start
/// order arrives at the worker.
const USABLE_SHARE: f64 = 0.7;

/// The workers that may run a step.
pub(crate) enum Permitted {
    /// Every worker; the queue has no policy service.
    Any,
    /// Only these workers.
    Only(Vec<WorkerId>),
    /// Not known yet; the policy service has not answered.
    Pending,
}

/// The workers that come into question for a step, by what the policy service has answered so far.
pub(crate) enum Candidates<'a> {
    /// Every worker; the queue has no policy service.
    All,
    /// Only the workers with a valid ticket.
    Only(Vec<WorkerId>),
    /// Every worker but those for which the policy service denied a ticket.
    Except(&'a Set<WorkerId>),
    /// Not known: the policy service has not been asked, or has not answered yet.
    Unknown,
}

/// Permission to run a step on one worker.
#[derive(Debug, Clone)]
pub(crate) struct Ticket {
    pub(crate) text: String,
    /// Start time of the worker for which the ticket was issued; a restarted worker needs a new
    /// one.
    born: u64,
    expiry: Time,
}

/// Tickets of one step.
#[derive(Debug, Default)]
pub(crate) struct Tickets {
    granted: Map<WorkerId, Ticket>,
    /// Workers for which the policy service denied a ticket. Its decisions for a step do not
    /// change.
    denied: Set<WorkerId>,
    /// Workers in the request that is in flight; empty if there is none.
    pending: Vec<WorkerId>,
}

impl Cell {
    /// Returns the workers that may run a step. Without a valid ticket, the policy service is
    /// asked, unless a request is in flight.
    pub(crate) fn permitted(
        &mut self,
        id: StepId,
        step: &Step,
        service: &ServiceName,
    ) -> Permitted {
        let Some(_) = self.advice_of(id) else {
            return Permitted::Any;
        };
        let valid = self.valid_tickets(id);
        if !valid.is_empty() {
            return Permitted::Only(valid);
        }
        let now = self.now;
        let workers = &self.workers;
        let tickets = self.tickets.entry(id).or_default();
        if tickets.pending.is_empty() {
            let free_index = workers.free_index(service).into_iter();
            let roomy = free_index.flat_map(|r| r.emptiest(Scope::All, 0));
            let open = roomy.filter_map(|n| workers.by_number(n));
            // A ticket for a worker that cannot run the step would be the only one until it expires.
            let open = open.filter(|w| w.is_schedulable(now) && w.suits(step));
            let open = open.filter(|w| !tickets.denied.contains(&w.id));
            tickets.pending = open.take(MAX_NAMED).map(|w| w.id.clone()).collect();
            if !tickets.pending.is_empty() {
                let workers = tickets.pending.clone();
                self.outputs
                    .push(Output::RequestAdvice { step: id, workers });
            }
        }
        Permitted::Pending
    }

    /// The workers that come into question for a step, by the answers so far.
    pub(crate) fn candidates(&self, step: StepId) -> Candidates<'_> {
        if self.advice_of(step).is_none() {
            return Candidates::All;
        }
        let Some(tickets) = self.tickets.get(&step) else {
            return Candidates::Unknown;
        };
        let valid = self.valid_tickets(step);
        match (valid.is_empty(), tickets.pending.is_empty()) {
            (false, _) => Candidates::Only(valid),
            (true, false) => Candidates::Unknown,
            (true, true) => Candidates::Except(&tickets.denied),
        }
    }

    /// Workers for which a step has a valid ticket.
    fn valid_tickets(&self, step: StepId) -> Vec<WorkerId> {
        let granted = self.tickets.get(&step).into_iter().flat_map(|t| &t.granted);
        let valid = granted.filter(|(id, t)| {
            let alive = self.workers.get(id).is_some_and(|w| w.born == t.born);
            alive && t.expiry > self.now
        });
        valid.map(|(id, _)| id.clone()).collect()
    }

    /// Handles the answer of the policy service; `None` if it did not answer.
    pub fn advised(&mut self, now: Time, step: StepId, granted: Option<Vec<(WorkerId, String)>>) {
        self.now = now;
        self.reschedule = true;
        // The answer may let the job leave the queue, or return to it.
        self.jobs.get_mut(&step.job);
        let valid = self.advice_of(step).map(|a| a.valid.duration());
        let Some(tickets) = self.tickets.get_mut(&step) else {
            return;
        };
        let pending = std::mem::take(&mut tickets.pending);
        let (Some(granted), Some(valid)) = (granted, valid) else {
            return;
        };
        let refused = pending
            .iter()
            .filter(|named| !granted.iter().any(|(id, _)| id == *named));
        tickets.denied.extend(refused.cloned());
        for (id, text) in granted {
            let born = self.workers.get(&id).map_or(0, |w| w.born);
            let expiry = now.after(valid.mul_f64(USABLE_SHARE));
            tickets.granted.insert(id, Ticket { text, born, expiry });
            self.ticket_ends.insert((expiry, step));
        }
    }

    /// Drops expired tickets. If their step still waits, runs the scheduler, which asks for new ones:
    /// while a ticket is valid no other worker is asked for, however long those with a ticket stay
    /// full.
    pub(crate) fn expire_tickets(&mut self) {
        let now = self.now;
        while let Some((end, step)) = self.ticket_ends.first().copied() {
            if end > now {
                return;
            }
            self.ticket_ends.pop_first();
            if let Some(tickets) = self.tickets.get_mut(&step) {
                tickets.granted.retain(|_, t| t.expiry > now);
            }
            if self.is_waiting(step) {
                self.reschedule = true;
                // Without tickets the job may leave the queue, or return to it.
                self.jobs.get_mut(&step.job);
            }
        }
    }

    /// The policy service settings of a step's queue; `None` if the queue has none.
    pub(crate) fn advice_of(&self, step: StepId) -> Option<Advice> {
        let job = self.jobs.get(&step.job)?;
        self.config.queues.get(&job.sub.queue)?.advice
    }

    /// The ticket of a step for a worker, to be sent with the start order.
    pub(crate) fn ticket(&self, step: StepId, worker: &WorkerId) -> Option<String> {
        let ticket = self.tickets.get(&step)?.granted.get(worker)?;
        Some(ticket.text.clone())
    }

    /// Removes a ticket that a worker refused, so that a new one is requested.
    pub(crate) fn forget_ticket(&mut self, step: StepId, worker: &WorkerId) {
        if let Some(tickets) = self.tickets.get_mut(&step) {
            tickets.granted.remove(worker);
        }
    }
}
