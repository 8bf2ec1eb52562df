//! Refusals of requests, jobs and records.

use std::fmt;
use std::time::Duration;

use crate::Code;

/// Why something was refused, and when to retry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Result code of the refusal.
    pub code: Code,
    /// Delay after which a retry may succeed, if known.
    pub retry: Option<Duration>,
    /// Human-readable detail; empty if the code alone is enough.
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal without retry delay and detail.
    pub fn new(code: Code) -> Self {
        Self {
            code,
            retry: None,
            detail: String::new(),
        }
    }

    /// Sets the delay after which a retry may succeed.
    pub fn with_retry(mut self, retry: Duration) -> Self {
        self.retry = Some(retry);
        self
    }

    /// Sets the human-readable detail.
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.detail.is_empty() {
            return self.code.fmt(f);
        }
        write!(f, "{}: {}", self.code, self.detail)
    }
}
