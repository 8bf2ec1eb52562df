//! Permissions of the policy service.

use cactuswheel_model::{Map, Time};
use cactuswheel_work::{Advice, ServiceName, StepId, WorkerId};

use crate::cell::Cell;
use crate::free_index::Scope;
use crate::output::Output;

/// Most workers named in one question. Each adds to the time of the answer, and a step seldom
/// needs more; those with the most room are named first.
const MAX_NAMED: usize = 12;

/// Share of a permission's life in which it is used; it has to hold when the order arrives.
const USABLE_SHARE: f64 = 0.7;

/// Whether the workers for a step are known.
pub(crate) enum Permitted {
    /// Every worker.
    Any,
    /// These.
    Only(Vec<WorkerId>),
    /// Not yet: the policy service was asked.
    Pending,
}

/// A permission.
#[derive(Debug, Clone)]
pub(crate) struct Ticket {
    pub(crate) text: String,
    /// Life of the worker that it is for.
    born: u64,
    expiry: Time,
}

/// Permissions of one step.
#[derive(Debug, Default)]
pub(crate) struct Tickets {
    granted: Map<WorkerId, Ticket>,
    /// Workers that were named and may not run it. The policy does not change for a step.
    denied: Vec<WorkerId>,
    /// Workers named in the question that is under way.
    pending: Vec<WorkerId>,
}

impl Cell {
    /// The workers that may run a step; asks the policy service if too few are known.
    pub(crate) fn permitted(&mut self, step: StepId, service: &ServiceName) -> Permitted {
        let Some(_) = self.advice_of(step) else {
            return Permitted::Any;
        };
        let now = self.now;
        let workers = &self.workers;
        let tickets = self.tickets.entry(step).or_default();
        let valid = tickets.granted.iter().filter(|(id, t)| {
            let alive = workers.get(id).is_some_and(|w| w.born == t.born);
            alive && t.expiry > now
        });
        let valid: Vec<WorkerId> = valid.map(|(id, _)| id.clone()).collect();
        if !valid.is_empty() {
            return Permitted::Only(valid);
        }
        if tickets.pending.is_empty() {
            let free_index = workers.free_index(service).into_iter();
            let roomy = free_index.flat_map(|r| r.emptiest(Scope::All, 0));
            let open = roomy.filter_map(|n| workers.at(n));
            let open = open.filter(|w| w.is_open(now) && !tickets.denied.contains(&w.id));
            tickets.pending = open.take(MAX_NAMED).map(|w| w.id.clone()).collect();
            if !tickets.pending.is_empty() {
                let workers = tickets.pending.clone();
                self.out.push(Output::Ask { step, workers });
            }
        }
        Permitted::Pending
    }

    /// The policy service answered, or did not (`None`).
    pub fn advised(&mut self, now: Time, step: StepId, granted: Option<Vec<(WorkerId, String)>>) {
        self.now = now;
        self.stirred = true;
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
        }
    }

    pub(crate) fn advice_of(&self, step: StepId) -> Option<Advice> {
        let job = self.jobs.get(&step.job)?;
        self.config.queues.get(&job.sub.queue)?.advice
    }

    pub(crate) fn ticket(&self, step: StepId, worker: &WorkerId) -> Option<String> {
        let ticket = self.tickets.get(&step)?.granted.get(worker)?;
        Some(ticket.text.clone())
    }

    /// A worker refused a permission: it is asked for anew.
    pub(crate) fn forget_ticket(&mut self, step: StepId, worker: &WorkerId) {
        if let Some(tickets) = self.tickets.get_mut(&step) {
            tickets.granted.remove(worker);
        }
    }
}
