//! A moving mean of run times.

use std::time::Duration;

/// Weight of a new run, as a shift.
const WEIGHT_SHIFT: u32 = 4;

/// Mean of the last runs; zero until the first.
#[derive(Debug, Clone, Copy, Default)]
pub struct Mean {
    micros: u64,
}

impl Mean {
    /// Takes a run in.
    pub fn record(&mut self, took: Duration) {
        let took = took.as_micros() as u64;
        if self.micros == 0 {
            self.micros = took;
            return;
        }
        self.micros = self.micros - (self.micros >> WEIGHT_SHIFT) + (took >> WEIGHT_SHIFT);
    }

    /// The mean.
    pub fn get(&self) -> Duration {
        Duration::from_micros(self.micros)
    }
}
