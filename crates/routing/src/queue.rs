//! Requests that wait for a slot of a pool.

use std::time::Duration;

use cactuswheel_model::{Code, Refusal, Time};

/// Counts who waits, and estimates for how long from the slots that became free.
///
/// Turns away at once what would not get its turn in time: it would only make the others wait
/// longer, and its caller can go elsewhere or come back when told.
#[derive(Debug, Default)]
pub struct SlotQueue {
    /// Invariant: at most [`Self::MOST`].
    waiting: u32,
    /// Average time between two free slots in microseconds, 0 before the first.
    gap: u64,
    /// Times in that average, the last [`Self::PAST`] at most.
    times: u64,
    /// When the last slot became free, or the queue was last empty.
    last: Time,
}

impl SlotQueue {
    /// Most that wait.
    const MOST: u32 = 4_096;

    /// Times that the average remembers.
    const PAST: u64 = 31;

    /// Lets one more wait, unless its turn would come after `until`.
    pub fn join(&mut self, now: Time, until: Time) -> Result<(), Refusal> {
        let wait = self.wait();
        if self.waiting >= Self::MOST {
            return Err(Refusal::new(Code::QueueFull).with_retry(wait));
        }
        if now.after(wait) >= until {
            return Err(Refusal::new(Code::Deadline).with_retry(wait));
        }
        if self.waiting == 0 {
            self.last = now;
        }
        self.waiting += 1;
        Ok(())
    }

    /// Notes that one waits no more.
    pub fn leave(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Notes a slot that became free while somebody waited.
    pub fn freed(&mut self, now: Time) {
        if self.waiting == 0 {
            return;
        }
        let gap = now.since(self.last).as_micros() as u64;
        self.last = now;
        // All weigh the same at first: slots often become free in pairs, and the first gap alone
        // would be far off.
        self.gap = (self.gap * self.times + gap) / (self.times + 1);
        self.times = (self.times + 1).min(Self::PAST);
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// How long one more would wait.
    pub fn wait(&self) -> Duration {
        Duration::from_micros(self.gap * u64::from(self.waiting + 1))
    }
}
