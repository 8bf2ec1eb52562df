//! What goes into the journal, and what holds once it is there.

use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_work::{JobId, JobState, WorkerId};

use crate::batch::{Batch, Consequences, Mark};
use crate::cell::Cell;
use crate::finished::{Finished, Kept};
use crate::journal::{JobRecord, encode};
use crate::output::Output;

/// Time between two requests to drop submissions. A takeover in between reads those of two
/// seconds, some hundred; each request takes an append for each partition of the intake.
const DROP_EVERY: Duration = Duration::from_millis(2_000);

impl Cell {
    /// The batch is in the journal.
    pub fn appended(&mut self, now: Time, mark: Mark) {
        self.now = now;
        let Some((_, done)) = self.flying.take_if(|(m, _)| *m == mark) else {
            return;
        };
        for id in &done.accepted {
            if let Some(job) = self.jobs.observe(id) {
                job.in_journal = true;
            }
        }
        if !done.accepted.is_empty() {
            self.out.push(Output::Accepted(done.accepted));
        }
        for (id, state) in done.states {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.shown = Some(state);
            }
        }
        for (id, finished) in done.finished {
            self.keep(id, finished);
        }
        for (id, born, number) in done.ends {
            self.acknowledge(&id, born, number);
        }
        for start in done.starts {
            self.order(start);
        }
    }

    /// The journal holds a job's last record: only that is kept of it.
    ///
    /// Failure: finished jobs stay in the intake with all that they ran, a new owner reads them
    /// all before it starts anything, and on a narrow link that takes seconds. The journal's
    /// record says all that callers may still ask, so the submission can go.
    fn keep(&mut self, id: JobId, job: Finished) {
        let known = self.jobs.remove(&id);
        // A cancel stands in the intake wherever the submission is.
        let elsewhere = known.as_ref().is_some_and(|j| !j.in_intake);
        let cancelled = job.state == JobState::Cancelled;
        let ended = known.and_then(|j| j.ended).unwrap_or(self.now);
        self.remember(id, Kept { job, ended });
        self.wait_queue.put(id, None);
        self.tickets.retain(|step, _| step.job != id);
        if cancelled || !elsewhere {
            self.unneeded.push(id);
        }
    }

    pub(crate) fn remember(&mut self, id: JobId, kept: Kept) {
        if self.finished.insert(id, kept).is_none() {
            self.oldest.push_back(id);
        }
    }

    /// Asks to drop the submissions of finished jobs, many at a time.
    pub(crate) fn drop_submissions(&mut self) {
        let due = self.now.since(self.last_drop) >= DROP_EVERY;
        if self.unneeded.is_empty() || !due {
            return;
        }
        self.last_drop = self.now;
        let jobs = std::mem::take(&mut self.unneeded);
        self.out.push(Output::DropSubmissions(jobs));
    }

    /// Puts what changed into a batch.
    pub(crate) fn write(&mut self) {
        if self.dirty.is_empty() {
            // Ends of runs that no job knows change nothing; they need no journal.
            self.workers.settle();
            let fresh: Vec<WorkerId> = self.workers.fresh().map(|w| w.id.clone()).collect();
            for id in fresh {
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.note(worker.notable());
                }
            }
            return;
        }
        let mut submissions = Vec::new();
        let mut records = Vec::new();
        let mut done = Consequences::default();
        let mut size = 0;
        for id in std::mem::take(&mut self.dirty) {
            if size >= self.bounds.batch {
                self.dirty.insert(id);
                continue;
            }
            if self.finished.contains_key(&id) {
                // Its record is the last one already.
                continue;
            }
            let record = self.jobs.get(&id).map(JobRecord::new);
            if let Some(handed) = self.handed.remove(&id) {
                done.accepted.push(id);
                // The last record stands by itself.
                if matches!(record, Some(JobRecord::Open(_))) {
                    size += handed.len();
                    submissions.push((id, Some(handed)));
                }
            }
            if let Some(job) = self.jobs.get(&id).filter(|j| j.state.is_final()) {
                done.states.push((id, job.state));
            }
            if let Some(JobRecord::Finished(job)) = &record {
                if self.jobs.get(&id).is_some_and(|j| j.in_journal) {
                    submissions.push((id, None));
                }
                done.finished.push((id, job.clone()));
            }
            let record = record.map(|r| encode(&r));
            size += record.as_ref().map_or(0, Vec::len);
            records.push((id, record));
        }
        let left = &self.dirty;
        let planned = std::mem::take(&mut self.planned).into_iter();
        let (later, now): (Vec<_>, Vec<_>) = planned.partition(|p| left.contains(&p.task.job()));
        self.planned = later;
        done.starts = now;
        if self.dirty.is_empty() {
            self.workers.settle();
            done.ends = self
                .workers
                .fresh()
                .map(|w| (w.id.clone(), w.born, w.notable()))
                .collect();
        }
        self.written = self.now;
        let mark = Mark(self.next_mark);
        self.next_mark += 1;
        self.flying = Some((mark, done));
        self.out.push(Output::Append(Batch {
            mark,
            submissions,
            records,
        }));
    }
}
