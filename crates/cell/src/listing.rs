//! Registration of workers, as listed by the platform.

use cactuswheel_model::Time;
use cactuswheel_work::{WorkerEntry, WorkerId};

use crate::cell::Cell;
use crate::worker::PollState;

impl Cell {
    /// Adds a worker or updates its registration.
    pub fn register_worker(&mut self, now: Time, entry: WorkerEntry) {
        self.now = now;
        let known = self.workers.get(&entry.id);
        if known.is_some_and(|w| w.entry.as_ref() == Some(&entry)) {
            // Every worker repeats its registration every one to two seconds.
            return;
        }
        let id = entry.id.clone();
        let worker = self.workers.get_or_add(&id, self.fence, now);
        let reborn = entry.born > worker.born && worker.born != 0;
        self.reschedule = true;
        let changed = worker.entry.as_ref().is_none_or(|before| {
            before.presence != entry.presence || before.addr != entry.addr || reborn
        });
        if changed {
            log::info!(
                worker:% = id, service:% = entry.service, presence:? = entry.presence,
                born = entry.born, known_born = worker.born;
                "worker registered"
            );
            if !matches!(worker.poll_state, PollState::InFlight { .. }) {
                worker.poll_state = PollState::Due(now);
            }
        }
        let draining = entry.presence == cactuswheel_work::Presence::Draining;
        worker.addr = Some(entry.addr);
        worker.rack = entry.rack().map(Into::into);
        worker.entry = Some(entry);
        worker.closed |= self.removing.contains(&id);
        worker.evacuated = worker.is_within(&self.evacuated);
        if changed && draining {
            self.stop_lasting(&id);
        }
    }

    /// Removes a worker's registration; its runs are kept until their end is known.
    pub fn unregister_worker(&mut self, now: Time, id: &WorkerId) {
        self.now = now;
        if let Some(worker) = self.workers.get_mut(id) {
            let runs = worker.allocations.len() as u64;
            log::info!(worker:% = id, runs = runs; "worker no longer registered");
            worker.entry = None;
        }
    }

    /// Identifiers of the registered workers.
    pub fn registered_workers(&self) -> impl Iterator<Item = &WorkerId> {
        let listed = self.workers.values().filter(|w| w.entry.is_some());
        listed.map(|w| &w.id)
    }
}
