//! How far the intake was read, by partition.

use cactuswheel_model::Time;

/// How far the intake was read, and whether that is enough to say that there is no such job.
///
/// Failure: callers ask for jobs that the owner has not read yet, each question reads the intake
/// again from where the owner took it over, and the reads take up the whole link; the cancels
/// that follow are not read for seconds. A question reads only what is new, and those that come
/// meanwhile wait for one more read together.
#[derive(Debug)]
pub struct IntakeProgress {
    parts: Vec<Part>,
}

#[derive(Debug)]
struct Part {
    /// Offset up to which everything was taken in.
    next: u64,
    /// When the read was sent up to which every accepted job is known.
    covered: Time,
    /// A read for the sake of a question is on the way.
    reading: bool,
}

/// Whether everything is known that was accepted before a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Coverage {
    /// It is.
    Complete,
    /// A read from this offset on tells, if it is sent now.
    ReadFrom(u64),
    /// A read is on the way; after it, ask again.
    Wait,
}

impl IntakeProgress {
    /// Every partition was read up to the offset given for it.
    pub fn new(next: impl IntoIterator<Item = u64>) -> Self {
        let parts = next.into_iter().map(|next| Part {
            next,
            covered: Time::default(),
            reading: false,
        });
        Self {
            parts: parts.collect(),
        }
    }

    /// Everything of a partition before `next` was taken in; `whole` is when the read was sent
    /// that reached the partition's end.
    pub fn mark_read(&mut self, part: u32, next: u64, whole: Option<Time>) {
        let Some(part) = self.parts.get_mut(part as usize) else {
            return;
        };
        part.next = part.next.max(next);
        part.covered = part.covered.max(whole.unwrap_or_default());
    }

    /// The read for the sake of a question is over, whatever it has brought.
    pub fn finish_read(&mut self, part: u32) {
        if let Some(part) = self.parts.get_mut(part as usize) {
            part.reading = false;
        }
    }

    /// Whether everything of a partition is known that was accepted before `since`.
    pub fn check(&mut self, part: u32, since: Time) -> Coverage {
        let Some(part) = self.parts.get_mut(part as usize) else {
            return Coverage::Wait;
        };
        if part.covered >= since {
            return Coverage::Complete;
        }
        if std::mem::replace(&mut part.reading, true) {
            return Coverage::Wait;
        }
        Coverage::ReadFrom(part.next)
    }
}
