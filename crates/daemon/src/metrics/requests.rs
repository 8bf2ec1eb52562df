//! Requests of callers.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cactuswheel_model::Code;
use prometheus::{Histogram, HistogramOpts, Registry};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY: &[f64] = &[
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 60.0,
    600.0,
];

/// Upper bounds of the queue time buckets, in seconds.
const QUEUE: &[f64] = &[
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 30.0,
];

/// Counts and times of callers' requests.
#[derive(Debug)]
pub(crate) struct RequestStats {
    /// One count for each of [`Code::ALL`], in its order.
    codes: Vec<AtomicU64>,
    latency: Histogram,
    queue: Histogram,
    retries: AtomicU64,
    connections: AtomicU64,
}

/// Counts a caller's connection while it is open.
#[derive(Debug)]
pub(crate) struct Open<'a>(&'a RequestStats);

impl RequestStats {
    /// Nothing counted yet; the histograms are read through `registry`.
    pub(crate) fn new(registry: &Registry) -> Self {
        Self {
            codes: Code::ALL.iter().map(|_| AtomicU64::new(0)).collect(),
            latency: histogram(
                registry,
                "cactuswheel_request_seconds",
                "Time from a request's head to the head of its answer",
                LATENCY,
            ),
            queue: histogram(
                registry,
                "cactuswheel_queue_seconds",
                "Time that an admitted request waited for a slot",
                QUEUE,
            ),
            retries: AtomicU64::new(0),
            connections: AtomicU64::new(0),
        }
    }

    /// Counts an answer that took `took` to its head.
    pub(crate) fn answered(&self, code: Code, took: Duration) {
        if let Ok(at) = Code::ALL.binary_search(&code) {
            self.codes[at].fetch_add(1, Ordering::Relaxed);
        }
        self.latency.observe(took.as_secs_f64());
    }

    /// Counts the wait of an admitted request.
    pub(crate) fn waited(&self, took: Duration) {
        self.queue.observe(took.as_secs_f64());
    }

    /// Counts a further attempt.
    pub(crate) fn retried(&self) {
        self.retries.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a connection until the guard is dropped.
    pub(crate) fn connected(&self) -> Open<'_> {
        self.connections.fetch_add(1, Ordering::Relaxed);
        Open(self)
    }

    /// Further attempts so far.
    pub(crate) fn retries(&self) -> u64 {
        self.retries.load(Ordering::Relaxed)
    }

    /// Connections that are open.
    pub(crate) fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }

    /// Answers by code, those that happened.
    pub(crate) fn by_code(&self) -> impl Iterator<Item = (Code, u64)> {
        let counts = self.codes.iter().map(|c| c.load(Ordering::Relaxed));
        let all = Code::ALL.iter().copied().zip(counts);
        all.filter(|(_, count)| *count > 0)
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

fn histogram(registry: &Registry, name: &str, help: &str, bounds: &[f64]) -> Histogram {
    let opts = HistogramOpts::new(name, help).buckets(bounds.to_vec());
    let histogram = Histogram::with_opts(opts).expect("bounds are constant and rise");
    let added = registry.register(Box::new(histogram.clone()));
    added.expect("each name is registered once");
    histogram
}
