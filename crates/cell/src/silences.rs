//! Silence of workers, which the journal carries from owner to owner.

use std::time::Duration;

use cactuswheel_model::{Map, Time};
use cactuswheel_work::WorkerId;

use crate::cell::Cell;
use crate::worker::Worker;

/// Silence of a worker with runs after which it is recorded in the journal. A worker that answers
/// again is not renewed until the record is removed, so short silences are not recorded.
const RECORD_AFTER: Duration = Duration::from_millis(1_000);

/// Workers whose silence the journal holds, or may hold.
///
/// A record says when the last lease of a silent worker is over, so that the next owner need not
/// wait for the longest lease from its own takeover on. If each owner did, work on a lost worker
/// would never be started again while owners change every few seconds.
///
/// Invariant: from the moment at which the record is to be appended until its removal is in the
/// journal, no owner renews the worker's lease or starts a run there. Otherwise the next owner would
/// rely on the end of a lease that was renewed since, and its runs would run twice.
#[derive(Debug, Default)]
pub(crate) struct Silences {
    /// By worker, the end of the last lease that this owner has recorded; `None` if the record is
    /// an earlier owner's.
    recorded: Map<WorkerId, Option<Time>>,
}

/// Changes of the records: the end of a worker's last lease, or `None` to remove its record.
pub(crate) type Changes = Vec<(WorkerId, Option<Time>)>;

impl Cell {
    /// Restores an earlier owner's record of a worker's silence: the worker's last lease is over at
    /// `lease_end`, on this node's clock. `None` if that cannot be told; the record then only has to
    /// be replaced. The jobs have to be restored before.
    pub fn restore_silence(&mut self, now: Time, id: WorkerId, lease_end: Option<Time>) {
        self.now = now;
        self.workers.bar_renewal(&id);
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.carried_end = lease_end;
            log::info!(
                worker:% = id, runs = worker.allocations.len() as u64,
                left_ms:? = lease_end.map(|end| end.since(now).as_millis() as u64);
                "silence of worker taken over"
            );
        }
        self.silences.recorded.insert(id, None);
    }

    /// The records to change with the next batch.
    pub(crate) fn draft_silences(&mut self) -> Changes {
        self.workers.update_indexes();
        let recorded = &self.silences.recorded;
        let is_over = |id: &&WorkerId| !self.workers.get(id).is_some_and(Worker::may_hold_lease);
        let over = recorded.keys().filter(is_over);
        let mut changes: Changes = over.map(|id| (id.clone(), None)).collect();
        // Only the record of the owner before counts, so each owner replaces it at once.
        let earlier = recorded.iter().filter(|(_, end)| end.is_none());
        let earlier = earlier.filter_map(|(id, _)| self.workers.get(id));
        let is_new = |w: &&Worker| {
            let quiet_for = self.now.since(w.quiet_since());
            // While the owner's link is saturated, answers are late and leases go on being renewed.
            !self.link_full && quiet_for >= RECORD_AFTER && !recorded.contains_key(&w.id)
        };
        let begun = self.workers.silent().filter(is_new).chain(earlier);
        let begun = begun.filter(|w| w.may_hold_lease());
        let begun: Vec<(WorkerId, Time)> =
            begun.map(|w| (w.id.clone(), self.lease_end(w))).collect();
        for (id, end) in begun {
            log::info!(
                worker:% = id, left_ms = end.since(self.now).as_millis() as u64;
                "silence of worker recorded"
            );
            self.workers.bar_renewal(&id);
            self.silences.recorded.insert(id.clone(), Some(end));
            changes.push((id, Some(end)));
        }
        changes
    }

    /// Reports that the journal no longer holds a record of this worker's silence.
    pub(crate) fn silence_removed(&mut self, id: &WorkerId) {
        self.silences.recorded.remove(id);
        self.workers.allow_renewal(id);
        self.reschedule = true;
    }

    /// When all leases of a worker that does not answer are certainly over.
    pub(crate) fn lease_end(&self, worker: &Worker) -> Time {
        worker.lease_end(self.bounds.lease, self.renewal_overlap)
    }
}
