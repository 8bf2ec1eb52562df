//! How far the intake was read, by partition.

use cactuswheel_model::Time;

/// How far the intake was read, and whether that is enough to say that there is no such job.
///
/// Failure: callers ask for jobs that the owner has not read yet, each question reads the intake
/// again from where the owner took it over, and the reads take up the whole link; the cancels
/// that follow are not read for seconds. A question reads only what is new, and those that come
/// meanwhile wait for one more read together.
#[derive(Debug)]
pub struct Reads {
    parts: Vec<Part>,
}

#[derive(Debug)]
struct Part {
    /// Offset up to which everything was taken in.
    next: u64,
    /// When the read was sent up to which every accepted job is known.
    whole: Time,
    /// A read for the sake of a question is on the way.
    reading: bool,
}

/// Whether everything is known that was accepted before a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Known {
    /// It is.
    Yes,
    /// A read from this offset on tells, if it is sent now.
    ReadFrom(u64),
    /// A read is on the way; after it, ask again.
    Wait,
}

impl Reads {
    /// Every partition was read up to the offset given for it.
    pub fn new(next: impl IntoIterator<Item = u64>) -> Self {
        let parts = next.into_iter().map(|next| Part {
            next,
            whole: Time::default(),
            reading: false,
        });
        Self {
            parts: parts.collect(),
        }
    }

    /// Everything of a partition before `next` was taken in; `whole` is when the read was sent
    /// that reached the partition's end.
    pub fn taken(&mut self, part: u32, next: u64, whole: Option<Time>) {
        let Some(part) = self.parts.get_mut(part as usize) else {
            return;
        };
        part.next = part.next.max(next);
        part.whole = part.whole.max(whole.unwrap_or_default());
    }

    /// The read for the sake of a question is over, whatever it has brought.
    pub fn over(&mut self, part: u32) {
        if let Some(part) = self.parts.get_mut(part as usize) {
            part.reading = false;
        }
    }

    /// Whether everything of a partition is known that was accepted before `since`.
    pub fn ask(&mut self, part: u32, since: Time) -> Known {
        let Some(part) = self.parts.get_mut(part as usize) else {
            return Known::Wait;
        };
        if part.whole >= since {
            return Known::Yes;
        }
        if std::mem::replace(&mut part.reading, true) {
            return Known::Wait;
        }
        Known::ReadFrom(part.next)
    }
}
