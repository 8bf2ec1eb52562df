//! Batching of job events on their way to the log.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cactuswheel_model::{Code, JobEvent, Map, Offset, Record, Refusal};
use cactuswheel_platform::{AppendPurpose, LogError};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout};

use crate::shared::Shared;

/// Events in one record.
const BATCH: usize = 500;

/// Events that wait to be written; more are refused.
const WAITING: usize = 5_000;

/// Time for which events are gathered into one record.
///
/// At 20 records a second an entry, nine entries stay well under several hundred appends.
const GATHER: Duration = Duration::from_millis(50);

/// Time within which a record has to be read back.
const LIMIT: Duration = Duration::from_secs(10);

/// Pause before an append is repeated.
const PAUSE: Duration = Duration::from_millis(200);

/// Records whose results are kept for whoever appended them.
const KEPT: u64 = 1_024;

/// What became of each event of a record.
type Results = Vec<Result<(), Refusal>>;

/// Takes events in and tells what became of them.
#[derive(Debug)]
pub(crate) struct EventQueue {
    send: mpsc::Sender<Entry>,
    /// Invariant: taken once, by the task that writes.
    receive: Mutex<Option<mpsc::Receiver<Entry>>>,
    /// Results of the newest records, by offset.
    results: Mutex<Map<Offset, Results>>,
}

#[derive(Debug)]
struct Entry {
    event: JobEvent,
    done: oneshot::Sender<Result<(), Refusal>>,
}

impl Default for EventQueue {
    fn default() -> Self {
        let (send, receive) = mpsc::channel(WAITING);
        Self {
            send,
            receive: Mutex::new(Some(receive)),
            results: Mutex::default(),
        }
    }
}

impl EventQueue {
    /// Has an event appended; its result once it was read back from the log.
    pub(crate) async fn put(&self, event: JobEvent) -> Result<(), Refusal> {
        let (done, result) = oneshot::channel();
        let full = || Refusal::new(Code::JobsFull).with_retry(PAUSE);
        self.send
            .try_send(Entry { event, done })
            .map_err(|_| full())?;
        result
            .await
            .unwrap_or_else(|_| Err(Refusal::new(Code::LogUnknown)))
    }

    /// Notes the results of a record that was read.
    pub(crate) fn settle(&self, offset: Offset, results: Results) {
        let mut kept = self.results();
        kept.insert(offset, results);
        kept.retain(|o, _| o.get() + KEPT > offset.get());
    }

    fn results(&self) -> MutexGuard<'_, Map<Offset, Results>> {
        self.results.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes what is put in, one record at a time, for as long as the task lives.
pub(crate) async fn write(shared: Arc<Shared>) {
    let receive = shared
        .jobs
        .receive
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .take();
    let Some(mut receive) = receive else { return };
    let mut batch = Vec::with_capacity(BATCH);
    while let Some(first) = receive.recv().await {
        batch.push(first);
        sleep(GATHER).await;
        while batch.len() < BATCH
            && let Ok(next) = receive.try_recv()
        {
            batch.push(next);
        }
        let (events, done): (Vec<_>, Vec<_>) = batch.drain(..).map(|e| (e.event, e.done)).unzip();
        let results = append(&shared, events).await;
        tell(done, results);
    }
}

fn tell(done: Vec<oneshot::Sender<Result<(), Refusal>>>, results: Result<Results, Refusal>) {
    for (i, done) in done.into_iter().enumerate() {
        let result = match &results {
            Ok(results) => results.get(i).cloned().unwrap_or(Ok(())),
            Err(refusal) => Err(refusal.clone()),
        };
        // Whoever put it in may have gone; the log has it all the same.
        let _ = done.send(result);
    }
}

/// Appends a record and waits until it is read back.
///
/// Sent again after a lost answer: an event that stands in the log twice is refused or
/// without effect the second time.
async fn append(shared: &Shared, events: Vec<JobEvent>) -> Result<Results, Refusal> {
    let unknown = |e: String| Refusal::new(Code::LogUnknown).with_detail(e);
    let body = serde_json::to_string(&Record::Jobs(events)).map_err(|e| unknown(e.to_string()))?;
    let until = Instant::now() + LIMIT;
    let offset = loop {
        let error = match shared
            .appender
            .append(AppendPurpose::Control, body.clone())
            .await
        {
            Ok(offset) => break offset,
            Err(LogError::Trimmed(_)) => "trimmed".to_owned(),
            Err(e) => e.to_string(),
        };
        if Instant::now() + PAUSE >= until {
            return Err(unknown(error));
        }
        sleep(PAUSE).await;
    };
    let mut reached = shared.reached.subscribe();
    let left = until.saturating_duration_since(Instant::now());
    let read = timeout(left, reached.wait_for(|next| *next > offset)).await;
    if !matches!(read, Ok(Ok(_))) {
        return Err(unknown("not read back in time".into()));
    }
    let results = shared.jobs.results().get(&offset).cloned();
    results.ok_or_else(|| unknown("read from a snapshot".into()))
}
