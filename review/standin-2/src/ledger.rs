//! What workers, callers and the platform have seen, in order of time.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use serde_json::Value;

/// One job as a caller handed it in.
#[derive(Debug, Clone)]
pub struct Job {
    /// The body of the request.
    pub body: Value,
    /// When the first 2xx arrived.
    pub accepted: Option<Instant>,
    /// When the DELETE was sent.
    pub cancel_sent: Option<Instant>,
    /// When the DELETE was acknowledged.
    pub cancelled: Option<Instant>,
}

/// The state of one work unit, from what the workers saw.
#[derive(Debug, Default)]
pub struct Unit {
    /// Live runs: run and worker's name with its boot.
    pub live: Vec<(u64, String)>,
    /// Runs that ended `done`.
    pub done: Vec<u64>,
    /// When an end `done` was taken note of.
    pub noted: Option<Instant>,
    /// Number of starts.
    pub starts: u64,
    /// Checkpoints that the work unit has produced.
    pub saved: HashSet<String>,
}

#[derive(Debug, Default)]
pub struct Books {
    pub jobs: BTreeMap<String, Job>,
    pub units: HashMap<String, Unit>,
    pub faults: Vec<String>,
    pub lines: Vec<String>,
    pub alone: u64,
}

/// The shared ledger.
#[derive(Debug, Clone)]
pub struct Ledger {
    books: Arc<Mutex<Books>>,
    start: Instant,
}

impl Ledger {
    pub fn new() -> Self {
        Self {
            books: Arc::default(),
            start: Instant::now(),
        }
    }

    pub fn books(&self) -> MutexGuard<'_, Books> {
        self.books.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Seconds since the case began.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}", self.now(), text.as_ref());
        self.books().lines.push(line);
    }

    pub fn fault(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} BROKEN {}", self.now(), text.as_ref());
        let mut books = self.books();
        books.lines.push(line.clone());
        books.faults.push(line);
    }
}

impl Default for Ledger {
    fn default() -> Self {
        Self::new()
    }
}
