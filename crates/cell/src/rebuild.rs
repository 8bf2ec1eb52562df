//! Rebuilds a cell from the records of earlier owners, in whatever order they are read.

use std::time::Duration;

use cactuswheel_model::{Map, Time};
use cactuswheel_work::{JobId, QueueName, Submission, WorkerId};

use crate::cell::Cell;
use crate::journal::{DecodeError, JobRecord, decode};

/// A cell that is being rebuilt.
///
/// Each record is applied as it is read and then dropped, so that a takeover takes no more memory
/// than the cell and a page of records.
#[derive(Debug)]
pub struct Rebuild {
    cell: Cell,
    /// Encoded states of jobs whose submission has not been read.
    states: Map<JobId, Vec<u8>>,
    /// Total size of `states`, in bytes.
    states_size: u64,
    /// Cancelled jobs. Applied last: a cancelled job stays cancelled, whatever state an earlier
    /// owner recorded.
    cancelled: Vec<JobId>,
    /// Workers that did not answer an earlier owner, and when their last lease is over. Applied
    /// once the jobs are restored.
    silences: Vec<(WorkerId, Option<Time>)>,
    /// Number of submissions read.
    submissions: u64,
}

impl Rebuild {
    /// Starts with an empty cell.
    pub fn new(cell: Cell) -> Self {
        Self {
            cell,
            states: Map::default(),
            states_size: 0,
            cancelled: Vec::new(),
            silences: Vec::new(),
            submissions: 0,
        }
    }

    /// Size of the state read so far, in bytes of memory.
    pub fn size(&self) -> u64 {
        self.cell.state_size() + self.states_size
    }

    /// Number of submissions read so far.
    pub fn submissions(&self) -> u64 {
        self.submissions
    }

    /// Takes a submission of the intake, which was accepted `age` ago.
    pub fn submitted(
        &mut self,
        now: Time,
        sub: Submission,
        age: Duration,
    ) -> Result<(), DecodeError> {
        let id = sub.job;
        self.submissions += 1;
        self.cell.submit(now, sub, age);
        self.apply_state(now, id)
    }

    /// Takes a submission of the journal, which was accepted `age` ago.
    pub fn journaled(
        &mut self,
        now: Time,
        sub: Submission,
        age: Duration,
    ) -> Result<(), DecodeError> {
        let id = sub.job;
        self.submissions += 1;
        self.cell.restore_submission(now, sub, age);
        self.apply_state(now, id)
    }

    /// Takes the encoded state of a job.
    pub fn state(&mut self, now: Time, id: JobId, state: &[u8]) -> Result<(), DecodeError> {
        if self.cell.jobs.contains(&id) {
            return self.restore(now, id, state);
        }
        self.states_size += state.len() as u64;
        if let Some(before) = self.states.insert(id, state.to_vec()) {
            self.states_size -= before.len() as u64;
        }
        Ok(())
    }

    /// Takes the attempts that a queue allowed when it was last in force.
    pub fn queue(&mut self, name: QueueName, attempts: u32) {
        self.cell.restore_queue(name, attempts);
    }

    /// Takes the silence of a worker; `lease_end` is when its last lease is over, if that is known.
    pub fn silence(&mut self, worker: WorkerId, lease_end: Option<Time>) {
        self.silences.push((worker, lease_end));
    }

    /// Takes the cancellation of a job.
    pub fn cancelled(&mut self, id: JobId) {
        self.cancelled.push(id);
    }

    /// Returns the cell once all records were read.
    pub fn finish(mut self, now: Time) -> Result<Cell, (JobId, DecodeError)> {
        for (id, state) in std::mem::take(&mut self.states) {
            // Finished jobs need no submission.
            self.restore(now, id, &state).map_err(|e| (id, e))?;
        }
        for id in &self.cancelled {
            self.cell.cancel(now, *id);
        }
        for (worker, lease_end) in std::mem::take(&mut self.silences) {
            self.cell.restore_silence(now, worker, lease_end);
        }
        self.cell.finish_restore();
        Ok(self.cell)
    }

    /// Applies the state of a job whose submission was just read.
    fn apply_state(&mut self, now: Time, id: JobId) -> Result<(), DecodeError> {
        let Some(state) = self.states.remove(&id) else {
            return Ok(());
        };
        self.states_size -= state.len() as u64;
        self.restore(now, id, &state)
    }

    fn restore(&mut self, now: Time, id: JobId, state: &[u8]) -> Result<(), DecodeError> {
        let record = decode::<JobRecord>(state)?;
        self.cell.restore(now, id, record);
        Ok(())
    }
}
