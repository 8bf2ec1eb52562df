//! What the platform's list says of workers.

use cactuswheel_model::Time;
use cactuswheel_work::{WorkerEntry, WorkerId};

use crate::cell::Cell;
use crate::worker::PollState;

impl Cell {
    /// The platform lists a worker.
    pub fn register_worker(&mut self, now: Time, entry: WorkerEntry) {
        self.now = now;
        let known = self.workers.get(&entry.id);
        if known.is_some_and(|w| w.entry.as_ref() == Some(&entry)) {
            // Every worker repeats its entry each second or two.
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
                "worker listed"
            );
            if !matches!(worker.poll_state, PollState::InFlight(_)) {
                worker.poll_state = PollState::Due(now);
            }
        }
        let draining = entry.presence == cactuswheel_work::Presence::Draining;
        worker.addr = Some(entry.addr);
        worker.rack = entry.rack().map(Into::into);
        worker.entry = Some(entry);
        worker.evacuated = worker.is_within(&self.evacuated);
        if changed && draining {
            self.stop_lasting(&id);
        }
    }

    /// The platform lists a worker no more.
    pub fn unregister_worker(&mut self, now: Time, id: &WorkerId) {
        self.now = now;
        if let Some(worker) = self.workers.get_mut(id) {
            let runs = worker.allocations.len() as u64;
            log::info!(worker:% = id, runs = runs; "worker no longer listed");
            worker.entry = None;
        }
    }

    /// Workers that are known to be listed.
    pub fn registered_workers(&self) -> impl Iterator<Item = &WorkerId> {
        let listed = self.workers.values().filter(|w| w.entry.is_some());
        listed.map(|w| &w.id)
    }
}
