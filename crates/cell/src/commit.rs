//! Writes batches to the journal, and applies their effects once they are appended.

use std::time::Duration;

use cactuswheel_model::{Map, Set, Time};
use cactuswheel_work::{JobId, JobState, WorkerId};

use crate::batch::{Batch, BatchEffects, BatchId};
use crate::cell::Cell;
use crate::finished::{Finished, FinishedJob};
use crate::journal::{JobRecord, encode};
use crate::output::Output;

/// Approximate size of a start order without the job's spec, in bytes.
const ORDER_BYTES: usize = 300;

/// Interval between two requests to drop submissions. Each request costs an append to every
/// partition of the intake, but a takeover has to read every submission that was not dropped.
const DROP_INTERVAL: Duration = Duration::from_millis(2_000);

impl Cell {
    /// Applies the effects of a batch that is now in the journal.
    pub fn appended(&mut self, now: Time, batch: BatchId) {
        self.now = now;
        let Some((_, effects)) = self.in_flight.take_if(|(current, _)| *current == batch) else {
            return;
        };
        let took = now.since(self.append_sent);
        self.backlog.record_append(took);
        self.admission.record_append(took);
        for id in &effects.accepted {
            if let Some(job) = self.jobs.get_mut_untracked(id) {
                job.in_journal = true;
            }
        }
        if !effects.accepted.is_empty() {
            self.outputs.push(Output::Accepted(effects.accepted));
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
        for id in &effects.answering {
            self.silence_removed(id);
        }
        self.unsent.extend(effects.starts);
        self.send_held_starts();
    }

    /// Reduces a job to its final record, which the journal now holds, and lists its submission for
    /// removal.
    ///
    /// If submissions of finished jobs stayed in the intake, a new owner would read all of them,
    /// with their specs, before it starts any task; on a slow link that takes seconds. The journal
    /// record is enough to answer all queries about the job, so the submission is not needed.
    fn retain_finished(&mut self, id: JobId, job: Finished) {
        let known = self.jobs.remove(&id);
        if let Some(known) = &known {
            self.discount(known);
        }
        // A cancellation is always stored in the intake, even if the submission is only in the
        // journal.
        let journal_only = known.as_ref().is_some_and(|j| !j.in_intake);
        let cancelled = job.state == JobState::Cancelled;
        let ended = known.and_then(|j| j.ended).unwrap_or(self.now);
        self.insert_finished(id, FinishedJob { job, ended });
        self.wait_queue.update(id, None);
        self.tickets.retain(|step, _| step.job != id);
        if cancelled || !journal_only {
            self.drop_later(id);
        }
    }

    /// Notes that the intake may hold the submission of a finished job, to be dropped.
    pub(crate) fn drop_later(&mut self, id: JobId) {
        self.obsolete.push(id);
        self.undropped.insert(id);
    }

    /// Processes the outcome of a request to drop submissions. Those that were not dropped are
    /// requested again.
    pub fn submissions_dropped(&mut self, jobs: &[JobId], dropped: bool) {
        match dropped {
            true => jobs.iter().for_each(|id| {
                self.undropped.remove(id);
            }),
            false => self.obsolete.extend(jobs),
        }
    }

    /// Adds a finished job to those that callers can query.
    pub(crate) fn insert_finished(&mut self, id: JobId, entry: FinishedJob) {
        if self.finished.insert(id, entry).is_none() {
            self.finished_order.push_back(id);
        }
    }

    /// Requests the removal of the submissions of finished jobs, in groups.
    pub(crate) fn drop_submissions(&mut self) {
        let due = self.now.since(self.last_drop) >= DROP_INTERVAL;
        if self.obsolete.is_empty() || !due {
            return;
        }
        self.last_drop = self.now;
        let jobs = std::mem::take(&mut self.obsolete);
        self.outputs.push(Output::DropSubmissions(jobs));
    }

    /// Writes the jobs that changed into a batch, up to the size limit.
    pub(crate) fn write_batch(&mut self) {
        let silences = self.draft_silences();
        if self.dirty.is_empty() && silences.is_empty() {
            return self.mark_ends_written();
        }
        let queues = match self.dirty.is_empty() {
            // Limits only matter to jobs, so they are written with the next one.
            true => Vec::new(),
            false => self.queue_limits.take_unwritten(),
        };
        let mut draft = Draft::default();
        let answering = silences.iter().filter(|(_, end)| end.is_none());
        draft.effects.answering = answering.map(|(id, _)| id.clone()).collect();
        let orders = self.order_sizes();
        for id in self.write_order() {
            if draft.size >= self.bounds.max_batch {
                self.dirty.insert(id);
                self.deferred.insert(id);
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
        self.workers.update_indexes();
        let left = &self.dirty;
        let fresh = self.workers.unjournaled();
        let ends = fresh.map(|w| (w.id.clone(), w.born, w.journaled_without(left)));
        draft.effects.ends = ends.collect();
        self.append_sent = self.now;
        let number = BatchId(self.next_batch);
        self.next_batch += 1;
        self.in_flight = Some((number, draft.effects));
        self.outputs.push(Output::Append(Batch {
            number,
            submissions: draft.submissions,
            records: draft.records,
            silences,
            queues,
        }));
    }

    /// Returns the changed jobs in the order in which they are written. Long-running jobs that are
    /// about to start go first, since every second that they run is useful; then come jobs that
    /// did not fit into an earlier batch.
    fn write_order(&mut self) -> Vec<JobId> {
        let late = std::mem::take(&mut self.deferred);
        let planned = self.planned.iter().map(|p| p.task.job());
        let lasting = planned.filter(|id| self.jobs.get(id).is_some_and(|j| j.sub.lasting()));
        let lasting: Set<JobId> = lasting.collect();
        let mut dirty: Vec<JobId> = std::mem::take(&mut self.dirty).into_iter().collect();
        dirty.sort_by_key(|id| (!lasting.contains(id), !late.contains(id)));
        dirty
    }

    /// Returns the approximate size in bytes of the start orders that follow each job's record.
    ///
    /// The size limit of a batch covers its orders too. Otherwise, when the jobs of a queue start
    /// all at once, the orders with their specs take ten times the bytes of the journal records. On
    /// a slow link, lease renewals, polls and answers would wait behind them for longer than their
    /// timeouts, and healthy workers and relays would be treated as failed.
    fn order_sizes(&self) -> Map<JobId, usize> {
        let mut sizes: Map<JobId, usize> = Map::default();
        for start in &self.planned {
            let id = start.task.job();
            let job = self.jobs.get(&id).filter(|_| !self.specs_omitted);
            let spec = job.map_or(0, |j| j.sub.spec.len());
            *sizes.entry(id).or_default() += ORDER_BYTES + spec;
        }
        sizes
    }

    /// Marks end records as journaled if no job changed, since they then need no journal record.
    fn mark_ends_written(&mut self) {
        self.workers.update_indexes();
        let fresh: Vec<WorkerId> = self.workers.unjournaled().map(|w| w.id.clone()).collect();
        for id in fresh {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.mark_journaled(worker.acknowledgeable_end());
            }
        }
    }

    /// Adds the record of a job, and its submission if the journal is to hold it, to a batch.
    fn write_job(&mut self, id: JobId, draft: &mut Draft) {
        if self.finished.contains_key(&id) {
            // The journal already holds the job's final record.
            return;
        }
        let retired = self.jobs.get_mut_untracked(&id).filter(|j| j.is_open());
        if let Some(job) = retired
            && job.retire_turns()
        {
            // An occurrence that is due may have waited for room in the record.
            self.due_turns.extend(job.next_turn().map(|due| (due, id)));
        }
        let job = self.jobs.get(&id);
        let record = job.map(JobRecord::new);
        if let Some(handed) = self.encoded_submissions.remove(&id) {
            draft.effects.accepted.push(id);
            // A final record does not need the submission.
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
        let size = record.as_ref().map_or(0, Vec::len) as u64;
        draft.records.push((id, record));
        if let Some(job) = self.jobs.get_mut_untracked(&id) {
            job.record_size = size;
        }
        self.recount(id);
    }
}

/// A batch that is being assembled.
#[derive(Debug, Default)]
struct Draft {
    submissions: Vec<(JobId, Option<Vec<u8>>)>,
    records: Vec<(JobId, Option<Vec<u8>>)>,
    effects: BatchEffects,
    /// Bytes so far, start orders included.
    size: usize,
}
