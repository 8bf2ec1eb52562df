//! Metrics, read at the admin address under `/metrics`.
//!
//! The path of a request touches atomics only: no lock, no allocation. Everything else is
//! looked up when somebody reads.

mod clock;
mod meters;
mod process;
mod requests;

pub(crate) use clock::Ago;
pub(crate) use meters::start;
pub(crate) use requests::RequestStats;

use std::time::{Duration, Instant};

use prometheus::{Registry, TextEncoder};

/// What is counted as it happens, and the registry it is read through.
#[derive(Debug)]
pub(crate) struct Metrics {
    /// Requests of callers.
    pub(crate) requests: RequestStats,
    /// When the platform's log last answered.
    pub(crate) log: Ago,
    /// When the platform's list of instances last answered.
    pub(crate) roster: Ago,
    registry: Registry,
    start: Instant,
}

impl Metrics {
    /// Metrics that have counted nothing.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        Self {
            requests: RequestStats::new(&registry),
            log: Ago::default(),
            roster: Ago::default(),
            registry,
            start: Instant::now(),
        }
    }

    /// Time since the process started.
    pub(crate) fn uptime(&self) -> Duration {
        self.start.elapsed()
    }

    /// All metrics as text, in the format that Prometheus reads.
    pub(crate) fn text(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}
