//! Jobs that fronts hand to the owner, until the journal holds them.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_cell::{Cell, HandIn, decode};
use cactuswheel_model::{Map, Time};
use cactuswheel_relay::SpecOrigins;
use cactuswheel_work::{JobId, Submission};
use tokio::sync::oneshot;

use crate::event::Handed;
use crate::intake::stuck_after;
use crate::peer::HandInAnswer;
use crate::shared::Shared;

/// Jobs that may wait for the batch under way; more only pile up while the store is away.
const MAX_WAITING: usize = 1_024;

/// Jobs that fronts hand to the owner, until the journal holds them.
pub(crate) struct HandIns {
    shared: Arc<Shared>,
    /// The cell knows nothing of these: they can be refused.
    waiting: Vec<(Submission, Handed)>,
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
    pub(crate) fn take(&mut self, cell: &Cell, handed: Handed) {
        if self.waiting.len() >= MAX_WAITING {
            return answer(handed.reply, HandInAnswer::Refused);
        }
        let sub = match decode::<Submission>(&handed.record) {
            Ok(sub) => sub,
            Err(e) => {
                log::error!(error:% = e; "submission cannot be read");
                return answer(handed.reply, HandInAnswer::Refused);
            }
        };
        if let Some(waits) = cell.overload_delay(&sub) {
            return answer(handed.reply, HandInAnswer::Overloaded(waits));
        }
        self.waiting.push((sub, handed));
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
        for (sub, handed) in std::mem::take(&mut self.waiting) {
            self.hand_one_in(cell, sub, handed);
        }
    }

    fn refuse_overdue(&mut self, now: Time, writing: Duration) {
        let stuck = writing > stuck_after(&self.shared);
        let over = |(_, h): &mut (Submission, Handed)| stuck || h.until <= now;
        let mut refused = 0;
        for (_, handed) in self.waiting.extract_if(.., over) {
            answer(handed.reply, HandInAnswer::Refused);
            refused += 1;
        }
        if refused > 0 {
            let ms = writing.as_millis() as u64;
            log::warn!(jobs = refused, writing_ms = ms; "hand-ins refused: the journal is late");
        }
    }

    fn hand_one_in(&mut self, cell: &mut Cell, sub: Submission, handed: Handed) {
        let now = self.shared.clock.now();
        if handed.until <= now {
            return answer(handed.reply, HandInAnswer::Refused);
        }
        let id = sub.job;
        self.origins.insert(now, id, handed.origin);
        match cell.hand_in(now, sub.clone(), handed.record.to_vec()) {
            HandIn::Accepted => answer(handed.reply, HandInAnswer::Accepted),
            HandIn::Journaling => self.replies.entry(id).or_default().push(handed.reply),
            HandIn::Busy => self.waiting.push((sub, handed)),
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
