//! What goes into the journal, and what holds once it is there.

use cactuswheel_model::Time;

use crate::batch::{Batch, Consequences, Mark};
use crate::cell::Cell;
use crate::journal::{JobRecord, encode};
use crate::output::Output;

/// Largest batch, in bytes, well below what the store takes in one call.
const MAX_BATCH: usize = 512 << 10;

impl Cell {
    /// The batch is in the journal.
    pub fn appended(&mut self, now: Time, mark: Mark) {
        self.now = now;
        let Some((_, done)) = self.flying.take_if(|(m, _)| *m == mark) else {
            return;
        };
        for (id, state) in done.states {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.shown = Some(state);
            }
        }
        for (id, born, number) in done.ends {
            self.acknowledge(&id, born, number);
        }
        for start in done.starts {
            self.order(start);
        }
    }

    /// Puts what changed into a batch.
    pub(crate) fn write(&mut self) {
        if self.dirty.is_empty() {
            // Ends of runs that no job knows change nothing; they need no journal.
            for worker in self.workers.values_mut() {
                worker.noted = worker.seen;
            }
            return;
        }
        let mut records = Vec::new();
        let mut done = Consequences::default();
        let mut size = 0;
        for id in std::mem::take(&mut self.dirty) {
            if size >= MAX_BATCH {
                self.dirty.insert(id);
                continue;
            }
            let record = self.jobs.get(&id).map(|j| encode(&JobRecord::new(j)));
            size += record.as_ref().map_or(0, Vec::len);
            if let Some(job) = self.jobs.get(&id).filter(|j| j.state.is_final()) {
                done.states.push((id, job.state));
            }
            records.push((id, record));
        }
        let left = &self.dirty;
        let planned = std::mem::take(&mut self.planned).into_iter();
        let (later, now): (Vec<_>, Vec<_>) = planned.partition(|p| left.contains(&p.task.job()));
        self.planned = later;
        done.starts = now;
        if self.dirty.is_empty() {
            let fresh = self.workers.values().filter(|w| w.seen > w.noted);
            done.ends = fresh.map(|w| (w.id.clone(), w.born, w.seen)).collect();
        }
        let mark = Mark(self.next_mark);
        self.next_mark += 1;
        self.flying = Some((mark, done));
        self.out.push(Output::Append(Batch { mark, records }));
    }
}
