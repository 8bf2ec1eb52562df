//! Jobs that front ends handed in to the owner and that are not in the journal yet.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_cell::{Cell, HandIn, Standing, StateRoom, decode, new_job_size};
use cactuswheel_model::{Map, Time};
use cactuswheel_relay::SpecOrigins;
use cactuswheel_work::{JobId, Submission};
use tokio::sync::oneshot;

use crate::event::HandInRequest;
use crate::intake::stuck_timeout;
use crate::peer::HandInAnswer;
use crate::shared::Shared;

/// Maximum number of jobs waiting for the journal batch in flight. More accumulate only while the
/// store is unreachable.
const MAX_WAITING: usize = 1_024;

/// Jobs that front ends handed in to the owner and that are not in the journal yet.
pub(crate) struct HandIns {
    shared: Arc<Shared>,
    /// Jobs that were not passed to the cell yet, and can still be refused.
    waiting: Vec<(Submission, HandInRequest)>,
    /// Size of the state of the jobs in `waiting`, in bytes.
    waiting_size: u64,
    /// Front ends waiting until a job is in the journal.
    replies: Map<JobId, Vec<oneshot::Sender<HandInAnswer>>>,
    /// Nodes that have the specs of recent jobs cached.
    origins: SpecOrigins,
}

impl HandIns {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            waiting: Vec::new(),
            waiting_size: 0,
            replies: Map::default(),
            origins: SpecOrigins::default(),
        }
    }

    /// Queues a job, unless it certainly cannot start in time or the state has no room for it.
    pub(crate) fn take(&mut self, cell: &Cell, request: HandInRequest) {
        if self.waiting.len() >= MAX_WAITING {
            return answer(request.reply, HandInAnswer::Refused);
        }
        let sub = match decode::<Submission>(&request.record) {
            Ok(sub) => sub,
            Err(e) => {
                log::error!(error:% = e; "cannot decode submission");
                return answer(request.reply, HandInAnswer::Refused);
            }
        };
        if let Some(delay) = cell.overload_delay(&sub) {
            return answer(request.reply, HandInAnswer::Overloaded(delay));
        }
        if let Some(room) = lacking_room(cell, &sub, &request, self.waiting_size) {
            return answer(request.reply, HandInAnswer::Full(room));
        }
        self.waiting_size += new_job_size(&sub, request.record.len());
        self.waiting.push((sub, request));
    }

    /// Passes the waiting jobs to the cell, unless a journal batch is in flight.
    ///
    /// Jobs that wait behind a batch that takes too long are refused at once. Otherwise, while the
    /// store is unreachable, callers would wait until their deadline to learn that nothing was
    /// stored.
    pub(crate) fn hand_in(&mut self, cell: &mut Cell) {
        if self.waiting.is_empty() {
            return;
        }
        let now = self.shared.clock.now();
        if let Some(batch_age) = cell.append_age(now) {
            return self.refuse_overdue(now, batch_age);
        }
        self.waiting_size = 0;
        for (sub, request) in std::mem::take(&mut self.waiting) {
            self.hand_in_one(cell, sub, request);
        }
    }

    fn refuse_overdue(&mut self, now: Time, batch_age: Duration) {
        let stuck = batch_age > stuck_timeout(&self.shared);
        let expired = |(_, r): &mut (Submission, HandInRequest)| stuck || r.until <= now;
        let mut refused = 0;
        for (sub, request) in self.waiting.extract_if(.., expired) {
            self.waiting_size -= new_job_size(&sub, request.record.len());
            answer(request.reply, HandInAnswer::Refused);
            refused += 1;
        }
        if refused > 0 {
            let ms = batch_age.as_millis() as u64;
            log::warn!(jobs = refused, writing_ms = ms; "jobs refused: journal batch is overdue");
        }
    }

    fn hand_in_one(&mut self, cell: &mut Cell, sub: Submission, request: HandInRequest) {
        let now = self.shared.clock.now();
        if request.until <= now {
            return answer(request.reply, HandInAnswer::Refused);
        }
        if let Some(room) = lacking_room(cell, &sub, &request, 0) {
            return answer(request.reply, HandInAnswer::Full(room));
        }
        let id = sub.job;
        self.origins.insert(now, id, request.origin);
        match cell.hand_in(now, sub.clone(), request.record.to_vec()) {
            HandIn::Accepted => {
                let room = cell.state_room(sub.team.as_ref());
                answer(request.reply, HandInAnswer::Accepted(room));
            }
            HandIn::Journaling => self.replies.entry(id).or_default().push(request.reply),
            HandIn::Busy => self.waiting.push((sub, request)),
        }
    }

    /// Nodes that have the specs of recent jobs cached.
    pub(crate) fn origins(&mut self) -> &mut SpecOrigins {
        &mut self.origins
    }

    /// Notifies the front ends that these jobs are in the journal.
    pub(crate) fn accepted(&mut self, cell: &Cell, jobs: &[JobId]) {
        for id in jobs {
            let room = cell.state_room(cell.team(*id));
            for reply in self.replies.remove(id).into_iter().flatten() {
                answer(reply, HandInAnswer::Accepted(room));
            }
        }
    }
}

/// Returns the room in the cell's state, without `taken` bytes of it, if a job that the cell doesn't
/// know does not fit into it.
///
/// Without this check, jobs would be accepted that no other node can take over; they would be lost
/// with this owner.
fn lacking_room(
    cell: &Cell,
    sub: &Submission,
    request: &HandInRequest,
    taken: u64,
) -> Option<StateRoom> {
    if cell.standing(sub.job) != Standing::Unknown {
        return None;
    }
    let room = cell.state_room(sub.team.as_ref()).get();
    let room = StateRoom::new(room.saturating_sub(taken));
    let size = new_job_size(sub, request.record.len());
    (!room.fits(size)).then_some(room)
}

/// Sends an answer to a front end, which may have stopped waiting.
fn answer(reply: oneshot::Sender<HandInAnswer>, answer: HandInAnswer) {
    let _ = reply.send(answer);
}
