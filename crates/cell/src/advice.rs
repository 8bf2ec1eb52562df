//! Permissions of the policy service.

use cactuswheel_model::{Map, Time};
use cactuswheel_work::{Advice, ServiceName, StepId, WorkerId};

use crate::cell::Cell;
use crate::free_index::Scope;
use crate::output::Output;

/// Most workers named in one question. Each adds to the time of the answer, and a step seldom
/// needs more; those with the most room are named first.
const NAMED: usize = 12;

/// Share of a permission's life in which it is used; it has to hold when the order arrives.
const USED_SHARE: f64 = 0.7;

/// Whether the workers for a step are known.
pub(crate) enum Permitted {
    /// Every worker.
    Any,
    /// These.
    Only(Vec<WorkerId>),
    /// Not yet: the policy service was asked.
    Asked,
}

/// A permission.
#[derive(Debug, Clone)]
pub(crate) struct Ticket {
    pub(crate) text: String,
    /// Life of the worker that it is for.
    born: u64,
    until: Time,
}

/// Permissions of one step.
#[derive(Debug, Default)]
pub(crate) struct Tickets {
    good: Map<WorkerId, Ticket>,
    /// Workers that were named and may not run it. The policy does not change for a step.
    bad: Vec<WorkerId>,
    /// Workers named in the question that is under way.
    asked: Vec<WorkerId>,
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
        let valid = tickets.good.iter().filter(|(id, t)| {
            let alive = workers.get(id).is_some_and(|w| w.born == t.born);
            alive && t.until > now
        });
        let valid: Vec<WorkerId> = valid.map(|(id, _)| id.clone()).collect();
        if !valid.is_empty() {
            return Permitted::Only(valid);
        }
        if tickets.asked.is_empty() {
            let free_index = workers.free_index(service).into_iter();
            let roomy = free_index.flat_map(|r| r.emptiest(Scope::All, 0));
            let open = roomy.filter_map(|n| workers.by_number(n));
            let open = open.filter(|w| w.is_schedulable(now) && !tickets.bad.contains(&w.id));
            tickets.asked = open.take(NAMED).map(|w| w.id.clone()).collect();
            if !tickets.asked.is_empty() {
                let workers = tickets.asked.clone();
                self.outputs.push(Output::RequestAdvice { step, workers });
            }
        }
        Permitted::Asked
    }

    /// The policy service answered, or did not (`None`).
    pub fn advised(&mut self, now: Time, step: StepId, good: Option<Vec<(WorkerId, String)>>) {
        self.now = now;
        self.reschedule = true;
        let valid = self.advice_of(step).map(|a| a.valid.duration());
        let Some(tickets) = self.tickets.get_mut(&step) else {
            return;
        };
        let asked = std::mem::take(&mut tickets.asked);
        let (Some(good), Some(valid)) = (good, valid) else {
            return;
        };
        let refused = asked
            .iter()
            .filter(|a| !good.iter().any(|(id, _)| id == *a));
        tickets.bad.extend(refused.cloned());
        for (id, text) in good {
            let born = self.workers.get(&id).map_or(0, |w| w.born);
            let until = now.after(valid.mul_f64(USED_SHARE));
            tickets.good.insert(id, Ticket { text, born, until });
        }
    }

    pub(crate) fn advice_of(&self, step: StepId) -> Option<Advice> {
        let job = self.jobs.get(&step.job)?;
        self.config.queues.get(&job.sub.queue)?.advice
    }

    pub(crate) fn ticket(&self, step: StepId, worker: &WorkerId) -> Option<String> {
        let ticket = self.tickets.get(&step)?.good.get(worker)?;
        Some(ticket.text.clone())
    }

    /// A worker refused a permission: it is asked for anew.
    pub(crate) fn forget_ticket(&mut self, step: StepId, worker: &WorkerId) {
        if let Some(tickets) = self.tickets.get_mut(&step) {
            tickets.good.remove(worker);
        }
    }
}
