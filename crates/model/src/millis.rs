//! Spans of time in settings.

use std::time::Duration;

use crate::number::number;

number! {
    /// A span of time, in milliseconds.
    Millis(u64)
}

impl Millis {
    /// The same span as a [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Duration> for Millis {
    fn from(span: Duration) -> Self {
        Self::new(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}
