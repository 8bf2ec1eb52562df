//! Sizes and times that may need tuning.

use std::ops::RangeInclusive;

use cactuswheel_model::{ByteSize, Millis, Timing};
use serde::Deserialize;

use super::SettingsFault;

/// Bounds of callers' requests and of a planned stop.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Threads that carry the entry's tasks.
    ///
    /// Invariant: 1 to 256.
    pub threads: u16,
    /// Largest head of a request.
    ///
    /// Invariant: 8 KiB to 1 MiB.
    pub head_bytes: ByteSize,
    /// Time in which a caller has to send the head of the next request.
    ///
    /// It runs on an idle connection too. The default is longer than balancers commonly keep
    /// one, 60 s, so that it is the balancer that closes and no request crosses our close.
    ///
    /// Invariant: 100 ms to 5 min.
    pub head_ms: Millis,
    /// Largest body of a request.
    ///
    /// Invariant: 1 byte to 1 TiB.
    pub body_bytes: ByteSize,
    /// Time for a connection to an upstream.
    ///
    /// Invariant: 10 ms to 1 min.
    pub connect_ms: Millis,
    /// Time for which a stopping entry goes on accepting, since the balancer lags.
    ///
    /// Invariant: at most 5 min.
    pub balancer_ms: Millis,
    /// Longest that a planned stop waits for running requests.
    ///
    /// Invariant: 1 s to 7 days.
    pub drain_ms: Millis,
    /// Time without word from the log or a peer after which this entry starts nothing more.
    ///
    /// Invariant: 500 ms to 10 min.
    pub fence_ms: Millis,
    /// Longest that an upstream runs a request.
    ///
    /// The entry waits no longer for an answer, and takes a request with unknown outcome for
    /// running until then.
    ///
    /// Invariant: 500 ms to 1 day.
    pub run_ms: Millis,
    /// Time without word from the log after which this entry starts nothing more whatever its
    /// peers say: how long a cut-off data centre goes on.
    ///
    /// Invariant: `fence_ms` to 7 days.
    pub cut_ms: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        let timing = Timing::default();
        Self {
            threads: 2,
            head_bytes: ByteSize::new(32 << 10),
            head_ms: Millis::new(75_000),
            body_bytes: ByteSize::new(256 << 20),
            connect_ms: Millis::new(1_000),
            balancer_ms: Millis::new(500),
            drain_ms: Millis::new(600_000),
            fence_ms: Millis::new(timing.fence),
            run_ms: Millis::new(timing.run),
            cut_ms: Millis::new(timing.cut),
        }
    }
}

impl Limits {
    /// Finds a limit that is out of its range.
    pub(super) fn check(&self) -> Result<(), SettingsFault> {
        within("threads", self.threads.into(), 1..=256)?;
        within("head_bytes", self.head_bytes.get(), 8 << 10..=1 << 20)?;
        within("head_ms", self.head_ms.get(), 100..=300_000)?;
        within("body_bytes", self.body_bytes.get(), 1..=1 << 40)?;
        within("connect_ms", self.connect_ms.get(), 10..=60_000)?;
        within("balancer_ms", self.balancer_ms.get(), 0..=300_000)?;
        within("drain_ms", self.drain_ms.get(), 1_000..=604_800_000)?;
        within("fence_ms", self.fence_ms.get(), 500..=600_000)?;
        within("run_ms", self.run_ms.get(), 500..=86_400_000)?;
        within(
            "cut_ms",
            self.cut_ms.get(),
            self.fence_ms.get()..=604_800_000,
        )
    }

    /// The times that this entry binds itself to.
    pub(crate) fn timing(&self) -> Timing {
        Timing {
            fence: self.fence_ms.get(),
            run: self.run_ms.get(),
            cut: self.cut_ms.get(),
        }
    }
}

fn within(name: &str, got: u64, range: RangeInclusive<u64>) -> Result<(), SettingsFault> {
    if range.contains(&got) {
        return Ok(());
    }
    let takes = format!("{} to {}", range.start(), range.end());
    Err(SettingsFault::new(format!("limits.{name}"), got, takes))
}
