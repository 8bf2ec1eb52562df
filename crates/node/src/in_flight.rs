//! A caller's request that is being handled.

use std::sync::atomic::{AtomicUsize, Ordering};

use cactuswheel_model::Time;

use crate::shared::Shared;

/// A caller's request that is being handled. If it is dropped before its response is ready, its
/// connection has ended: the caller has left, or the process is about to exit.
pub(crate) struct InFlight<'a> {
    shared: &'a Shared,
    count: &'a AtomicUsize,
    path: &'a str,
    since: Time,
    answered: bool,
}

impl<'a> InFlight<'a> {
    /// Counts a request for `path` in `count` until it is dropped.
    pub(crate) fn new(shared: &'a Shared, count: &'a AtomicUsize, path: &'a str) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self {
            shared,
            count,
            path,
            since: shared.clock.now(),
            answered: false,
        }
    }

    /// Records that the response is ready.
    pub(crate) fn answered(mut self) {
        self.answered = true;
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
        if self.answered {
            return;
        }
        self.shared.metrics.cut(self.shared.is_stopping());
        if let Some(stopping) = self.shared.stopping_for() {
            let owner = self.shared.believed_owner();
            log::warn!(
                job = job_of(self.path),
                age_ms = self.shared.clock.now().since(self.since).as_millis() as u64,
                stopping_ms = stopping.as_millis() as u64,
                owner = owner.node, epoch = owner.epoch;
                "request cut: its connection ended without a response"
            );
        }
    }
}

/// The last segment of a request's path: a job id, or empty for a request about a queue.
fn job_of(path: &str) -> &str {
    path.rsplit('/').next().unwrap_or_default()
}
