//! Durations in settings.

use std::time::Duration;

use crate::number::number;

number! {
    /// A duration, in milliseconds.
    Millis(u64)
}

impl Millis {
    /// Converts to a [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Duration> for Millis {
    fn from(span: Duration) -> Self {
        Self::new(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}
