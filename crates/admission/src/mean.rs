//! An exponential moving average of run times.

use std::time::Duration;

/// A new run has a weight of 1/2^`WEIGHT_SHIFT`.
const WEIGHT_SHIFT: u32 = 4;

/// Exponential moving average of run times; zero before the first run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Mean {
    micros: u64,
}

impl Mean {
    /// Adds a run that took this long.
    pub fn record(&mut self, took: Duration) {
        let took = took.as_micros() as u64;
        if self.micros == 0 {
            self.micros = took;
            return;
        }
        self.micros = self.micros - (self.micros >> WEIGHT_SHIFT) + (took >> WEIGHT_SHIFT);
    }

    /// The average run time.
    pub fn get(&self) -> Duration {
        Duration::from_micros(self.micros)
    }
}
