//! What is known of a request's execution while it is being answered.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use cactuswheel_model::{Code, Refusal};

/// Whether a request may have taken effect; clones share it.
#[derive(Debug, Clone, Default)]
pub(super) struct Progress(Arc<AtomicBool>);

impl Progress {
    /// Notes that the request is being handed over.
    pub(super) fn hand_over(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Notes that no attempt so far has run it.
    pub(super) fn take_back(&self) {
        self.0.store(false, Ordering::Release);
    }

    /// The refusal of the request if it cannot be waited for any more.
    pub(super) fn refusal(&self) -> Refusal {
        let code = match self.0.load(Ordering::Acquire) {
            true => Code::Lost,
            false => Code::Stopping,
        };
        Refusal::new(code).with_detail("the entry is stopping")
    }
}
