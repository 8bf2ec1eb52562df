//! The workers of a cell, indexed by what has to be done with them.

use std::collections::BTreeSet;
use std::time::Duration;

use cactuswheel_model::{Map, Set, Time};
use cactuswheel_work::{Room, ServiceName, TaskId, WorkerEntry, WorkerId};

use crate::free_index::{FreeIndex, Place};
use crate::roster::{Roster, accepting, offers_same};
use crate::worker::{Allocation, PollState, Worker};

/// Delay before polling a worker whose end records are not all in the journal yet.
const UNJOURNALED_DELAY: Duration = Duration::from_millis(1_000);

/// How long a worker stays reserved for a task that may crash it.
const RESERVATION_TTL: Duration = Duration::from_secs(1);

/// The index entries of a worker, to update the indexes when its state changes.
#[derive(Debug, Default)]
pub(crate) struct IndexedState {
    /// The worker may have changed since its entries were computed.
    touched: bool,
    place: Option<(ServiceName, Place)>,
    /// Room that is not allocated.
    free: Room,
    /// When the last condition that ends by time alone is over.
    reopening: Option<Time>,
    /// The entry in the roster.
    listed: Option<WorkerEntry>,
    poll: Option<Time>,
    silent: bool,
    spent: bool,
    evacuating: bool,
    unjournaled: bool,
}

/// The workers of a cell, indexed by what has to be done with them.
///
/// An event concerns one worker, and only the index entries of that worker are recomputed. The
/// cost of an event is therefore the same with fifty workers as with thousands.
///
/// Invariant: after [`Workers::update_indexes`] the indexes agree with the state of every worker.
#[derive(Debug, Default)]
pub(crate) struct Workers {
    all: Map<WorkerId, Worker>,
    /// Identifiers by worker number. Numbers are not reused.
    numbered: Vec<WorkerId>,
    touched: Vec<WorkerId>,
    free_index: Map<ServiceName, FreeIndex>,
    roster: Roster,
    /// When each worker is to be polled next, or its poll in flight counts as lost.
    polls: BTreeSet<(Time, u32)>,
    /// When each worker may take tasks again that is closed to them for a time.
    ///
    /// Invariant: holds every worker that would take tasks but for a condition that ends by time
    /// alone. Nothing else would run the scheduler at that time, and a task that only this worker
    /// can run would wait until some other event.
    reopenings: BTreeSet<(Time, u32)>,
    /// A worker has been opened to tasks, or has more room, since this was last taken.
    opened: bool,
    /// Workers that missed a poll or are no longer registered.
    silent: Set<WorkerId>,
    /// Workers with withheld end records.
    spent: Set<WorkerId>,
    /// Workers on which long-running tasks have to be stopped.
    evacuating: Set<WorkerId>,
    /// Workers with end records that are not in the journal yet.
    unjournaled: Set<WorkerId>,
    /// Workers that are reserved for tasks which may crash them.
    reserved: Vec<WorkerId>,
    /// Workers whose leases must not be renewed, whether or not they are known at the moment.
    barred: Set<WorkerId>,
}

impl Workers {
    pub(crate) fn get(&self, id: &WorkerId) -> Option<&Worker> {
        self.all.get(id)
    }

    /// Returns a worker for modification; its index entries are recomputed by the next
    /// [`Self::update_indexes`].
    pub(crate) fn get_mut(&mut self, id: &WorkerId) -> Option<&mut Worker> {
        let worker = self.all.get_mut(id)?;
        if !std::mem::replace(&mut worker.indexed.touched, true) {
            self.touched.push(id.clone());
        }
        Some(worker)
    }

    /// Returns a worker for modification, creating it if it is unknown.
    pub(crate) fn get_or_add(&mut self, id: &WorkerId, fence: u64, now: Time) -> &mut Worker {
        if !self.all.contains_key(id) {
            let number = self.numbered.len() as u32;
            self.numbered.push(id.clone());
            let mut worker = Worker::new(id.clone(), number, fence, now);
            worker.renewal_barred = self.barred.contains(id);
            self.all.insert(id.clone(), worker);
        }
        self.get_mut(id).expect("it was added")
    }

    pub(crate) fn remove(&mut self, id: &WorkerId) {
        let Some(worker) = self.all.remove(id) else {
            return;
        };
        let indexed = worker.indexed;
        if let Some((service, place)) = indexed.place
            && let Some(free_index) = self.free_index.get_mut(&service)
        {
            free_index.remove(worker.number, &place);
        }
        self.roster
            .update(worker.number, indexed.listed.as_ref(), None);
        if let Some(at) = indexed.poll {
            self.polls.remove(&(at, worker.number));
        }
        if let Some(at) = indexed.reopening {
            self.reopenings.remove(&(at, worker.number));
        }
        self.silent.remove(id);
        self.spent.remove(id);
        self.evacuating.remove(id);
        self.unjournaled.remove(id);
    }

    /// Forbids the renewal of a worker's lease. Kept apart from the worker, which may be removed and
    /// registered again meanwhile.
    pub(crate) fn bar_renewal(&mut self, id: &WorkerId) {
        self.barred.insert(id.clone());
        if let Some(worker) = self.get_mut(id) {
            worker.renewal_barred = true;
        }
    }

    /// Allows the renewal of a worker's lease again.
    pub(crate) fn allow_renewal(&mut self, id: &WorkerId) {
        self.barred.remove(id);
        if let Some(worker) = self.get_mut(id) {
            worker.renewal_barred = false;
        }
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

    /// The worker with a number returned by [`FreeIndex`].
    pub(crate) fn by_number(&self, number: u32) -> Option<&Worker> {
        self.all.get(self.numbered.get(number as usize)?)
    }

    /// Index of the workers of a service that may take tasks; `None` if there are none.
    pub(crate) fn free_index(&self, service: &ServiceName) -> Option<&FreeIndex> {
        self.free_index.get(service).filter(|r| !r.is_empty())
    }

    /// Index of the registered workers by what they offer.
    pub(crate) fn roster(&self) -> &Roster {
        &self.roster
    }

    pub(crate) fn roster_mut(&mut self) -> &mut Roster {
        &mut self.roster
    }

    /// Allocates room for a run; the next choice of a worker takes it into account.
    pub(crate) fn allocate(&mut self, id: &WorkerId, task: TaskId, allocation: Allocation) {
        if let Some(worker) = self.all.get_mut(id) {
            worker.allocate(task, allocation);
            self.reindex(id);
        }
    }

    /// Frees the room of a run that was not planned after all.
    pub(crate) fn cancel_allocation(&mut self, id: &WorkerId, task: TaskId, run: u32) {
        if let Some(worker) = self.all.get_mut(id) {
            worker.deallocate(task, run);
            // The scheduler gives back what it has just allocated, which is no reason to run again.
            let opened = self.opened;
            self.reindex(id);
            self.opened = opened;
        }
    }

    /// Reserves a worker for a task that may crash it, so that no other task starts there.
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

    /// Workers that are reserved for tasks which may crash them.
    pub(crate) fn reserved(&self) -> impl Iterator<Item = &Worker> {
        self.reserved.iter().filter_map(|id| self.all.get(id))
    }

    /// Drops expired reservations; returns whether there were any.
    pub(crate) fn expire_reservations(&mut self, now: Time) -> bool {
        let before = self.reserved.len();
        let all = &self.all;
        self.reserved
            .retain(|id| all.get(id).is_some_and(|w| w.is_reserved(now)));
        self.reserved.len() < before
    }

    /// Workers that missed a poll or are no longer registered.
    pub(crate) fn silent(&self) -> impl Iterator<Item = &Worker> {
        self.silent.iter().filter_map(|id| self.all.get(id))
    }

    /// Workers with withheld end records.
    pub(crate) fn spent(&self) -> impl Iterator<Item = &Worker> {
        self.spent.iter().filter_map(|id| self.all.get(id))
    }

    /// Workers on which long-running tasks have to be stopped.
    pub(crate) fn evacuating(&self) -> impl Iterator<Item = &Worker> {
        self.evacuating.iter().filter_map(|id| self.all.get(id))
    }

    /// Workers with end records that are not in the journal yet.
    pub(crate) fn unjournaled(&self) -> impl Iterator<Item = &Worker> {
        self.unjournaled.iter().filter_map(|id| self.all.get(id))
    }

    /// Workers whose next poll is due by `now`, or whose poll in flight counts as lost by then.
    pub(crate) fn due_for_poll(&self, now: Time) -> Vec<WorkerId> {
        let due = self.polls.range(..=(now, u32::MAX));
        let ids = due.filter_map(|(_, n)| self.numbered.get(*n as usize));
        ids.cloned().collect()
    }

    /// When the next poll is due, or the next one in flight counts as lost.
    pub(crate) fn next_poll(&self) -> Option<Time> {
        self.polls.first().map(|(at, _)| *at)
    }

    /// Whether a worker may take more tasks than when this was last called: it was opened to them, has
    /// more room, or the time is over for which it was closed.
    pub(crate) fn take_opened(&mut self, now: Time) -> bool {
        self.update_indexes();
        while let Some(first) = self.reopenings.first().copied() {
            if first.0 > now {
                break;
            }
            self.reopenings.remove(&first);
            self.opened = true;
        }
        std::mem::take(&mut self.opened)
    }

    /// When the next worker may take tasks again that is closed to them for a time.
    pub(crate) fn next_reopening(&self) -> Option<Time> {
        self.reopenings.first().map(|(at, _)| *at)
    }

    /// Recomputes the index entries of the workers that changed.
    pub(crate) fn update_indexes(&mut self) {
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
        let free = worker.free();
        let grown = !free.fits(std::mem::replace(&mut worker.indexed.free, free));
        self.opened |= place.is_some() && (grown || worker.indexed.place.is_none());
        let reopening = worker.reopening();
        if reopening != worker.indexed.reopening {
            if let Some(at) = std::mem::replace(&mut worker.indexed.reopening, reopening) {
                self.reopenings.remove(&(at, number));
            }
            self.reopenings.extend(reopening.map(|at| (at, number)));
        }
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
        let entry = accepting(worker.entry.as_ref());
        if !offers_same(worker.indexed.listed.as_ref(), entry) {
            let entry = entry.cloned();
            let before = std::mem::replace(&mut worker.indexed.listed, entry);
            let after = worker.indexed.listed.as_ref();
            self.roster.update(number, before.as_ref(), after);
        }
        let poll = worker.next_poll();
        if poll != worker.indexed.poll {
            if let Some(at) = std::mem::replace(&mut worker.indexed.poll, poll) {
                self.polls.remove(&(at, number));
            }
            self.polls.extend(poll.map(|at| (at, number)));
        }
        let silent = worker.missed_polls > 0 || worker.entry.is_none();
        let (spent, evacuating, unjournaled) = (
            worker.is_spent(),
            worker.evacuating,
            worker.acknowledgeable_end() != worker.journaled_end,
        );
        let indexed = &mut worker.indexed;
        update_membership(&mut self.silent, id, &mut indexed.silent, silent);
        update_membership(&mut self.spent, id, &mut indexed.spent, spent);
        update_membership(
            &mut self.evacuating,
            id,
            &mut indexed.evacuating,
            evacuating,
        );
        update_membership(
            &mut self.unjournaled,
            id,
            &mut indexed.unjournaled,
            unjournaled,
        );
    }
}

/// Inserts `id` into a set or removes it, if its membership changed.
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
    /// Service and position in the free index; `None` if the worker may not take tasks.
    fn place(&self) -> Option<(ServiceName, Place)> {
        let entry = self.entry.as_ref().filter(|_| self.can_accept())?;
        let place = Place {
            zone: entry.zone.clone(),
            rack: self.rack.clone(),
            free: self.free().cpu,
        };
        Some((entry.service.clone(), place))
    }

    /// When the worker is to be polled next, or its poll in flight counts as lost; `None` if no
    /// poll is needed.
    ///
    /// A worker that is no longer registered may still be alive; it is polled while it has
    /// allocations to learn how they end. An end record is acknowledged once it is in the
    /// journal. Until then every answer lists it again at once, so the worker is polled only as
    /// often as its lease requires.
    fn next_poll(&self) -> Option<Time> {
        let wanted = self.entry.is_some() || !self.allocations.is_empty();
        let journaled = self.acknowledgeable_end() == self.journaled_end;
        let at = match self.poll_state {
            PollState::InFlight { deadline, .. } => deadline,
            PollState::Due(at) if journaled => at,
            PollState::Due(at) => at.after(UNJOURNALED_DELAY),
        };
        (wanted && self.addr.is_some()).then_some(at)
    }
}
