//! Read positions in the partitions of the intake.

use cactuswheel_model::Time;

/// How far each partition of the intake was read, and whether that is enough to answer that a job
/// does not exist.
///
/// Without this, every query for a job that the owner has not read yet would read the intake
/// again from where the owner took it over. Such reads can saturate the link, so that
/// cancellations sent later are not read for seconds. Here a query reads only new records, and
/// queries that arrive during a read share one further read.
#[derive(Debug)]
pub struct IntakeProgress {
    parts: Vec<Part>,
}

#[derive(Debug)]
struct Part {
    /// Offset up to which all records were processed.
    next: u64,
    /// All jobs accepted before this time are known: it is when the read was sent that reached
    /// the partition's end.
    covered: Time,
    /// A read on behalf of a query is in flight.
    reading: bool,
}

/// Whether all jobs accepted before a given time are known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Coverage {
    /// All of them are known.
    Complete,
    /// A read from this offset, sent now, will show the missing ones.
    ReadFrom(u64),
    /// A read is in flight; ask again when it is finished.
    Wait,
}

impl IntakeProgress {
    /// Creates the positions from the offset up to which each partition was read.
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

    /// Records that everything in a partition before `next` was processed. If a read reached the
    /// partition's end, `end_reached` is when that read was sent.
    pub fn mark_read(&mut self, part: u32, next: u64, end_reached: Option<Time>) {
        let Some(part) = self.parts.get_mut(part as usize) else {
            return;
        };
        part.next = part.next.max(next);
        part.covered = part.covered.max(end_reached.unwrap_or_default());
    }

    /// Records that a read on behalf of a query is finished, whether or not it succeeded.
    pub fn finish_read(&mut self, part: u32) {
        if let Some(part) = self.parts.get_mut(part as usize) {
            part.reading = false;
        }
    }

    /// Whether all jobs of a partition that were accepted before `since` are known. The caller
    /// has to send the read that [`Coverage::ReadFrom`] asks for.
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
