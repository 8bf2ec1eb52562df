//! The workers that a cell knows, and which of them have something to be done.

use std::collections::BTreeSet;
use std::time::Duration;

use cactuswheel_model::{Map, Set, Time};
use cactuswheel_work::{ServiceName, TaskId, WorkerId};

use crate::free_index::{FreeIndex, Place};
use crate::worker::{Allocation, PollState, Worker};

/// Pause between looks at a worker with ends that the journal does not reflect yet.
const UNJOURNALED_DELAY: Duration = Duration::from_millis(1_000);

/// Longest time for which a worker is kept for a task that may take it down.
const RESERVATION_TTL: Duration = Duration::from_secs(1);

/// What a worker was last entered under.
#[derive(Debug, Default)]
pub(crate) struct IndexedState {
    /// Its state may have changed since.
    touched: bool,
    place: Option<(ServiceName, Place)>,
    poll: Option<Time>,
    silent: bool,
    evacuating: bool,
    unjournaled: bool,
}

/// The workers that a cell knows, and which of them have something to be done.
///
/// An event concerns one worker; what is derived from its state is derived anew for that one
/// only, so an event costs the same among fifty workers and among thousands.
///
/// Invariant: after [`Workers::settle`] the derived sets agree with every worker's state.
#[derive(Debug, Default)]
pub(crate) struct Workers {
    all: Map<WorkerId, Worker>,
    /// By number; numbers are not used again.
    numbered: Vec<WorkerId>,
    touched: Vec<WorkerId>,
    free_index: Map<ServiceName, FreeIndex>,
    /// When each is to be looked at next.
    polls: BTreeSet<(Time, u32)>,
    /// Those that left a look unanswered, or are listed no more.
    silent: Set<WorkerId>,
    /// Those that lasting work leaves.
    evacuating: Set<WorkerId>,
    /// Those with ends that the journal does not reflect yet.
    unjournaled: Set<WorkerId>,
    /// Those that are kept for tasks which may take them down.
    reserved: Vec<WorkerId>,
}

impl Workers {
    pub(crate) fn get(&self, id: &WorkerId) -> Option<&Worker> {
        self.all.get(id)
    }

    /// A worker whose state changes.
    pub(crate) fn get_mut(&mut self, id: &WorkerId) -> Option<&mut Worker> {
        let worker = self.all.get_mut(id)?;
        if !std::mem::replace(&mut worker.indexed.touched, true) {
            self.touched.push(id.clone());
        }
        Some(worker)
    }

    /// A worker whose state changes; one that is not known is made.
    pub(crate) fn get_or_add(&mut self, id: &WorkerId, fence: u64, now: Time) -> &mut Worker {
        if !self.all.contains_key(id) {
            let number = self.numbered.len() as u32;
            self.numbered.push(id.clone());
            let worker = Worker::new(id.clone(), number, fence, now);
            self.all.insert(id.clone(), worker);
        }
        self.get_mut(id).expect("it was added")
    }

    pub(crate) fn remove(&mut self, id: &WorkerId) {
        let Some(worker) = self.all.remove(id) else {
            return;
        };
        let marks = worker.indexed;
        if let Some((service, place)) = marks.place
            && let Some(free_index) = self.free_index.get_mut(&service)
        {
            free_index.remove(worker.number, &place);
        }
        if let Some(at) = marks.poll {
            self.polls.remove(&(at, worker.number));
        }
        self.silent.remove(id);
        self.evacuating.remove(id);
        self.unjournaled.remove(id);
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &Worker> {
        self.all.values()
    }

    pub(crate) fn len(&self) -> usize {
        self.all.len()
    }

    /// Identifiers of all workers.
    pub(crate) fn ids(&self) -> Vec<WorkerId> {
        self.all.keys().cloned().collect()
    }

    /// The worker of a number that [`FreeIndex`] gave.
    pub(crate) fn by_number(&self, number: u32) -> Option<&Worker> {
        self.all.get(self.numbered.get(number as usize)?)
    }

    /// Workers of a service that may take work.
    pub(crate) fn free_index(&self, service: &ServiceName) -> Option<&FreeIndex> {
        self.free_index.get(service).filter(|r| !r.is_empty())
    }

    /// A run takes room on a worker, seen by the next choice of a place.
    pub(crate) fn allocate(&mut self, id: &WorkerId, task: TaskId, held: Allocation) {
        if let Some(worker) = self.all.get_mut(id) {
            worker.allocate(task, held);
            self.reindex(id);
        }
    }

    /// The room of a run that was not planned after all is free again.
    pub(crate) fn cancel_allocation(&mut self, id: &WorkerId, task: TaskId, run: u32) {
        if let Some(worker) = self.all.get_mut(id) {
            worker.deallocate(task, run);
            self.reindex(id);
        }
    }

    /// Keeps a worker free of other starts for a task that may take it down.
    pub(crate) fn reserve(&mut self, id: &WorkerId, now: Time) {
        let Some(worker) = self.get_mut(id) else {
            return;
        };
        worker.reserved_until = now.after(RESERVATION_TTL);
        worker.poll_state = PollState::Due(now);
        if !self.reserved.contains(id) {
            self.reserved.push(id.clone());
        }
    }

    /// Those that are kept for tasks which may take them down.
    pub(crate) fn reserved(&self) -> impl Iterator<Item = &Worker> {
        self.reserved.iter().filter_map(|id| self.all.get(id))
    }

    /// Drops reservations that are over; true if there were any.
    pub(crate) fn expire_reservations(&mut self, now: Time) -> bool {
        let before = self.reserved.len();
        let all = &self.all;
        self.reserved
            .retain(|id| all.get(id).is_some_and(|w| w.is_reserved(now)));
        self.reserved.len() < before
    }

    /// Those that left a look unanswered, or are listed no more.
    pub(crate) fn silent(&self) -> impl Iterator<Item = &Worker> {
        self.silent.iter().filter_map(|id| self.all.get(id))
    }

    /// Those that lasting work leaves.
    pub(crate) fn evacuating(&self) -> impl Iterator<Item = &Worker> {
        self.evacuating.iter().filter_map(|id| self.all.get(id))
    }

    /// Those with ends that the journal does not reflect yet.
    pub(crate) fn unjournaled(&self) -> impl Iterator<Item = &Worker> {
        self.unjournaled.iter().filter_map(|id| self.all.get(id))
    }

    /// Those that are to be looked at by now.
    pub(crate) fn due_for_poll(&self, now: Time) -> Vec<WorkerId> {
        let due = self.polls.range(..=(now, u32::MAX));
        let ids = due.filter_map(|(_, n)| self.numbered.get(*n as usize));
        ids.cloned().collect()
    }

    /// When the next one is to be looked at.
    pub(crate) fn next_poll(&self) -> Option<Time> {
        self.polls.first().map(|(at, _)| *at)
    }

    /// Derives anew what follows from the state of those that changed.
    pub(crate) fn settle(&mut self) {
        for id in std::mem::take(&mut self.touched) {
            self.reindex(&id);
        }
    }

    fn reindex(&mut self, id: &WorkerId) {
        let Some(worker) = self.all.get_mut(id) else {
            return;
        };
        let number = worker.number;
        worker.indexed.touched = false;
        let place = worker.place();
        if place != worker.indexed.place {
            let before = std::mem::replace(&mut worker.indexed.place, place.clone());
            if let Some((service, place)) = before
                && let Some(free_index) = self.free_index.get_mut(&service)
            {
                free_index.remove(number, &place);
            }
            if let Some((service, place)) = place {
                self.free_index
                    .entry(service)
                    .or_default()
                    .insert(number, &place);
            }
        }
        let look = worker.next_poll();
        if look != worker.indexed.poll {
            if let Some(at) = std::mem::replace(&mut worker.indexed.poll, look) {
                self.polls.remove(&(at, number));
            }
            self.polls.extend(look.map(|at| (at, number)));
        }
        let silent = worker.missed_polls > 0 || worker.entry.is_none();
        let (evacuating, unjournaled) = (
            worker.evacuating,
            worker.acknowledgeable_end() != worker.journaled_end,
        );
        let marks = &mut worker.indexed;
        update_membership(&mut self.silent, id, &mut marks.silent, silent);
        update_membership(&mut self.evacuating, id, &mut marks.evacuating, evacuating);
        update_membership(
            &mut self.unjournaled,
            id,
            &mut marks.unjournaled,
            unjournaled,
        );
    }
}

/// Puts `id` into a set or takes it out, if that is not so already.
fn update_membership(set: &mut Set<WorkerId>, id: &WorkerId, before: &mut bool, now: bool) {
    match (std::mem::replace(before, now), now) {
        (false, true) => {
            set.insert(id.clone());
        }
        (true, false) => {
            set.remove(id);
        }
        _ => {}
    }
}

impl Worker {
    /// Where it may take work, if it may take any.
    fn place(&self) -> Option<(ServiceName, Place)> {
        let entry = self.entry.as_ref().filter(|_| self.can_accept())?;
        let place = Place {
            zone: entry.zone.clone(),
            rack: self.rack.clone(),
            free: self.free().cpu,
        };
        Some((entry.service.clone(), place))
    }

    /// When it is to be looked at next; `None` while nothing would come of it.
    ///
    /// One that is listed no more may live; what runs there ends as it says. An end is
    /// acknowledged once the journal reflects it; until then the answer would list it again, so
    /// looks come only as often as leases need.
    fn next_poll(&self) -> Option<Time> {
        let PollState::Due(at) = self.poll_state else {
            return None;
        };
        let wanted = self.entry.is_some() || !self.allocations.is_empty();
        let told = self.acknowledgeable_end() == self.journaled_end;
        let at = match told {
            true => at,
            false => at.after(UNJOURNALED_DELAY),
        };
        (wanted && self.addr.is_some()).then_some(at)
    }
}
