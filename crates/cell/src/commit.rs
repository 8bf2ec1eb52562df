//! What goes into the journal, and what holds once it is there.

use std::time::Duration;

use cactuswheel_model::{Map, Set, Time};
use cactuswheel_work::{JobId, JobState, WorkerId};

use crate::batch::{Batch, BatchEffects, BatchId};
use crate::cell::Cell;
use crate::finished::{Finished, FinishedJob};
use crate::journal::{JobRecord, encode};
use crate::output::Output;

/// About what an order to start takes beside what the job runs, in bytes.
const ORDER_BYTES: usize = 300;

/// Time between two requests to drop submissions: each takes an append for each partition of the
/// intake, and a takeover reads what was not dropped.
const DROP_INTERVAL: Duration = Duration::from_millis(2_000);

impl Cell {
    /// The batch is in the journal.
    pub fn appended(&mut self, now: Time, batch: BatchId) {
        self.now = now;
        let Some((_, effects)) = self.flying.take_if(|(current, _)| *current == batch) else {
            return;
        };
        let took = now.since(self.written);
        self.backlog.record_append(took);
        self.admission.record_append(took);
        for id in &effects.accepted {
            if let Some(job) = self.jobs.get_mut_untracked(id) {
                job.in_journal = true;
            }
        }
        if !effects.accepted.is_empty() {
            self.out.push(Output::Accepted(effects.accepted));
        }
        for (id, state) in effects.states {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.journaled = Some(state);
            }
        }
        for (id, finished) in effects.finished {
            self.retain_finished(id, finished);
        }
        for (id, born, number) in effects.ends {
            self.acknowledge(&id, born, number);
        }
        for start in effects.starts {
            self.order(start);
        }
    }

    /// The journal holds a job's last record: only that is kept of it.
    ///
    /// Failure: finished jobs stay in the intake with all that they ran, a new owner reads them
    /// all before it starts anything, and on a narrow link that takes seconds. The journal's
    /// record says all that callers may still ask, so the submission can go.
    fn retain_finished(&mut self, id: JobId, job: Finished) {
        let known = self.jobs.remove(&id);
        // A cancel stands in the intake wherever the submission is.
        let journal_only = known.as_ref().is_some_and(|j| !j.in_intake);
        let cancelled = job.state == JobState::Cancelled;
        let ended = known.and_then(|j| j.ended).unwrap_or(self.now);
        self.insert_finished(id, FinishedJob { job, ended });
        self.wait_queue.update(id, None);
        self.tickets.retain(|step, _| step.job != id);
        if cancelled || !journal_only {
            self.unneeded.push(id);
        }
    }

    pub(crate) fn insert_finished(&mut self, id: JobId, entry: FinishedJob) {
        if self.finished.insert(id, entry).is_none() {
            self.oldest.push_back(id);
        }
    }

    /// Asks to drop the submissions of finished jobs, many at a time.
    pub(crate) fn drop_submissions(&mut self) {
        let due = self.now.since(self.last_drop) >= DROP_INTERVAL;
        if self.unneeded.is_empty() || !due {
            return;
        }
        self.last_drop = self.now;
        let jobs = std::mem::take(&mut self.unneeded);
        self.out.push(Output::DropSubmissions(jobs));
    }

    /// Puts what changed into a batch.
    pub(crate) fn write_batch(&mut self) {
        if self.dirty.is_empty() {
            return self.mark_ends_written();
        }
        let mut draft = Draft::default();
        let orders = self.order_sizes();
        for id in self.write_order() {
            if draft.size >= self.bounds.batch {
                self.dirty.insert(id);
                self.late.insert(id);
                continue;
            }
            self.write_job(id, &mut draft);
            draft.size += orders.get(&id).copied().unwrap_or_default();
        }
        let left = &self.dirty;
        let planned = std::mem::take(&mut self.planned).into_iter();
        let (later, now): (Vec<_>, Vec<_>) = planned.partition(|p| left.contains(&p.task.job()));
        self.planned = later;
        self.admission.record_write(now.len(), draft.size);
        self.backlog.record_write(now.len(), draft.size);
        draft.effects.starts = now;
        self.workers.settle();
        let left = &self.dirty;
        let fresh = self.workers.fresh();
        let ends = fresh.map(|w| (w.id.clone(), w.born, w.written(left)));
        draft.effects.ends = ends.collect();
        self.written = self.now;
        let number = BatchId(self.next_mark);
        self.next_mark += 1;
        self.flying = Some((number, draft.effects));
        self.out.push(Output::Append(Batch {
            number,
            submissions: draft.submissions,
            records: draft.records,
        }));
    }

    /// What changed, in the order in which it is written: lasting work that is about to start earns by
    /// the second, and what a full batch has left out before goes ahead of the rest.
    fn write_order(&mut self) -> Vec<JobId> {
        let late = std::mem::take(&mut self.late);
        let planned = self.planned.iter().map(|p| p.task.job());
        let lasting = planned.filter(|id| self.jobs.get(id).is_some_and(|j| j.sub.lasting()));
        let lasting: Set<JobId> = lasting.collect();
        let mut dirty: Vec<JobId> = std::mem::take(&mut self.dirty).into_iter().collect();
        dirty.sort_by_key(|id| (!lasting.contains(id), !late.contains(id)));
        dirty
    }

    /// About how many bytes the orders to start take that follow once each job is in the journal.
    ///
    /// Failure: a queue's work starts all at once, the orders with all that they run are ten times
    /// what the journal takes, and on a narrow link renewals, looks and answers wait behind
    /// them for longer than their time limits: sound workers and relays are given up. What is
    /// under way with a batch is bounded as a whole, orders included.
    fn order_sizes(&self) -> Map<JobId, usize> {
        let mut sizes: Map<JobId, usize> = Map::default();
        for start in &self.planned {
            let id = start.task.job();
            let job = self.jobs.get(&id).filter(|_| !self.named);
            let spec = job.map_or(0, |j| j.sub.spec.len());
            *sizes.entry(id).or_default() += ORDER_BYTES + spec;
        }
        sizes
    }

    /// Ends of runs that no job knows change nothing; they need no journal.
    fn mark_ends_written(&mut self) {
        self.workers.settle();
        let fresh: Vec<WorkerId> = self.workers.fresh().map(|w| w.id.clone()).collect();
        for id in fresh {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.note(worker.notable());
            }
        }
    }

    fn write_job(&mut self, id: JobId, draft: &mut Draft) {
        if self.finished.contains_key(&id) {
            // Its record is the last one already.
            return;
        }
        let job = self.jobs.get(&id);
        let record = job.map(JobRecord::new);
        if let Some(handed) = self.handed.remove(&id) {
            draft.effects.accepted.push(id);
            // The last record stands by itself.
            if matches!(record, Some(JobRecord::Open(_))) {
                draft.size += handed.len();
                draft.submissions.push((id, Some(handed)));
            }
        }
        if let Some(job) = job.filter(|j| j.state.is_final()) {
            draft.effects.states.push((id, job.state));
        }
        if let Some(JobRecord::Finished(last)) = &record {
            if job.is_some_and(|j| j.in_journal) {
                draft.submissions.push((id, None));
            }
            draft.effects.finished.push((id, last.clone()));
        }
        let record = record.map(|r| encode(&r));
        draft.size += record.as_ref().map_or(0, Vec::len);
        draft.records.push((id, record));
    }
}

/// A batch in the making.
#[derive(Debug, Default)]
struct Draft {
    submissions: Vec<(JobId, Option<Vec<u8>>)>,
    records: Vec<(JobId, Option<Vec<u8>>)>,
    effects: BatchEffects,
    /// Bytes so far.
    size: usize,
}
