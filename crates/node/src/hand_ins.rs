//! Jobs that fronts hand to the owner, until the journal holds them.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_cell::{Cell, HandIn, decode};
use cactuswheel_model::{Map, Time};
use cactuswheel_relay::SpecOrigins;
use cactuswheel_work::{JobId, Submission};
use tokio::sync::oneshot;

use crate::event::HandInRequest;
use crate::intake::stuck_timeout;
use crate::peer::HandInAnswer;
use crate::shared::Shared;

/// Jobs that may wait for the batch under way; more only pile up while the store is away.
const MAX_WAITING: usize = 1_024;

/// Jobs that fronts hand to the owner, until the journal holds them.
pub(crate) struct HandIns {
    shared: Arc<Shared>,
    /// The cell knows nothing of these: they can be refused.
    waiting: Vec<(Submission, HandInRequest)>,
    /// Whom to tell when the journal holds a job.
    replies: Map<JobId, Vec<oneshot::Sender<HandInAnswer>>>,
    /// Which fronts have accepted jobs of late.
    origins: SpecOrigins,
}

impl HandIns {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            waiting: Vec::new(),
            replies: Map::default(),
            origins: SpecOrigins::default(),
        }
    }

    /// Takes a job, unless it surely cannot begin in time.
    pub(crate) fn take(&mut self, cell: &Cell, request: HandInRequest) {
        if self.waiting.len() >= MAX_WAITING {
            return answer(request.reply, HandInAnswer::Refused);
        }
        let sub = match decode::<Submission>(&request.record) {
            Ok(sub) => sub,
            Err(e) => {
                log::error!(error:% = e; "submission cannot be read");
                return answer(request.reply, HandInAnswer::Refused);
            }
        };
        if let Some(waits) = cell.refuses(&sub) {
            return answer(request.reply, HandInAnswer::Overloaded(waits));
        }
        self.waiting.push((sub, request));
    }

    /// Hands the cell what waits, unless a batch is under way.
    ///
    /// Failure: the store is away, and callers wait for their whole time to hear that nothing
    /// was stored. What waits behind a batch that takes too long is refused at once.
    pub(crate) fn hand_in(&mut self, cell: &mut Cell) {
        if self.waiting.is_empty() {
            return;
        }
        let now = self.shared.clock.now();
        if let Some(writing) = cell.writing(now) {
            return self.refuse_overdue(now, writing);
        }
        for (sub, request) in std::mem::take(&mut self.waiting) {
            self.hand_in_one(cell, sub, request);
        }
    }

    fn refuse_overdue(&mut self, now: Time, writing: Duration) {
        let stuck = writing > stuck_timeout(&self.shared);
        let expired = |(_, h): &mut (Submission, HandInRequest)| stuck || h.until <= now;
        let mut refused = 0;
        for (_, request) in self.waiting.extract_if(.., expired) {
            answer(request.reply, HandInAnswer::Refused);
            refused += 1;
        }
        if refused > 0 {
            let ms = writing.as_millis() as u64;
            log::warn!(jobs = refused, writing_ms = ms; "hand-ins refused: the journal is late");
        }
    }

    fn hand_in_one(&mut self, cell: &mut Cell, sub: Submission, request: HandInRequest) {
        let now = self.shared.clock.now();
        if request.until <= now {
            return answer(request.reply, HandInAnswer::Refused);
        }
        let id = sub.job;
        self.origins.insert(now, id, request.origin);
        match cell.hand_in(now, sub.clone(), request.record.to_vec()) {
            HandIn::Accepted => answer(request.reply, HandInAnswer::Accepted),
            HandIn::Journaling => self.replies.entry(id).or_default().push(request.reply),
            HandIn::Busy => self.waiting.push((sub, request)),
        }
    }

    /// Which fronts have accepted jobs of late.
    pub(crate) fn origins(&mut self) -> &mut SpecOrigins {
        &mut self.origins
    }

    /// The journal holds these jobs.
    pub(crate) fn accepted(&mut self, jobs: &[JobId]) {
        for reply in jobs.iter().flat_map(|id| self.replies.remove(id)).flatten() {
            answer(reply, HandInAnswer::Accepted);
        }
    }
}

/// A front that has stopped waiting needs no answer.
fn answer(reply: oneshot::Sender<HandInAnswer>, answer: HandInAnswer) {
    let _ = reply.send(answer);
}
