//! Answers that turn work away.

use std::fmt;
use std::time::Duration;

use crate::Code;

/// Why work was turned away, and when to come back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The numbered reason.
    pub code: Code,
    /// When a further try has a chance, if that is known.
    pub retry: Option<Duration>,
    /// What was wrong, for people; empty if the code says it all.
    pub detail: String,
}

impl Refusal {
    /// A refusal that says no more than its code.
    pub fn new(code: Code) -> Self {
        Self {
            code,
            retry: None,
            detail: String::new(),
        }
    }

    /// Adds the time after which a further try has a chance.
    pub fn with_retry(mut self, retry: Duration) -> Self {
        self.retry = Some(retry);
        self
    }

    /// Adds a line for people.
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
