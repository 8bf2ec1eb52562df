//! A bound on how many lines a second the log takes.

use std::sync::atomic::{AtomicU64, Ordering};

/// Lets a few lines a second through and counts the rest.
///
/// Failure: a caller with a wrong key in a tight loop fills the log and the processor with
/// refusals. The bound is per second and per node, so the first ones always show and the count
/// of the rest comes with the next line that does.
#[derive(Debug, Default)]
pub struct LineLimit {
    /// The second that is being counted, and the lines written in it.
    ///
    /// Both in one word, so that a new second starts the count anew in one step.
    window: AtomicU64,
    suppressed: AtomicU64,
}

/// Lines a second.
const LINES: u64 = 10;

/// Bits of the count.
const BITS: u32 = 16;

impl LineLimit {
    /// Whether a line may be written in `second`; if so, how many were left out before it.
    pub fn allow(&self, second: u64) -> Option<u64> {
        let counted = |window: u64| {
            let written = match window >> BITS == second {
                true => window & ((1 << BITS) - 1),
                false => 0,
            };
            (written < LINES).then_some(second << BITS | (written + 1))
        };
        let entered = self
            .window
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, counted);
        match entered {
            Ok(_) => Some(self.suppressed.swap(0, Ordering::Relaxed)),
            Err(_) => {
                self.suppressed.fetch_add(1, Ordering::Relaxed);
                None
            }
        }
    }
}
