//! The one way by which records go to the fleet's stream.

use std::sync::{Arc, Mutex, PoisonError};

use cactuswheel_model::{Offset, Time};
use cactuswheel_platform::{AppendBudget, AppendPurpose, Log, LogError, Stream};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep};

use crate::shared::Shared;

/// Most records that wait.
const MAX_WAITING: usize = 4_096;

/// Most records in one append.
const MAX_COUNT: usize = 256;

/// Most bytes in one append, unless a single record is larger.
const MAX_BYTES: usize = 1 << 20;

/// Records that wait for their append.
#[derive(Debug, Default)]
pub(crate) struct Appender {
    tickets: Queue,
    control: Queue,
}

#[derive(Debug, Default)]
struct Queue {
    waiting: Mutex<Vec<Waiting>>,
    wake: Notify,
}

#[derive(Debug)]
struct Waiting {
    body: String,
    done: oneshot::Sender<Result<Offset, LogError>>,
}

impl Appender {
    /// Appends a record together with all others of the same use that wait; its offset.
    ///
    /// On [`LogError::Unknown`] it may stand in the log; who sends it again has to be sure
    /// that the fold takes it once.
    pub(crate) async fn append(&self, of: AppendPurpose, body: String) -> Result<Offset, LogError> {
        let queue = self.queue(of);
        let (done, answer) = oneshot::channel();
        if !queue.push(Waiting { body, done }) {
            return Err(LogError::Unavailable("too many records wait".into()));
        }
        queue.wake.notify_one();
        let lost = || LogError::Unavailable("the entry stops".into());
        answer.await.map_err(|_| lost())?
    }

    fn queue(&self, of: AppendPurpose) -> &Queue {
        match of {
            AppendPurpose::Ticket => &self.tickets,
            AppendPurpose::Control => &self.control,
        }
    }
}

impl Queue {
    fn push(&self, waiting: Waiting) -> bool {
        let mut queue = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if queue.len() >= MAX_WAITING {
            return false;
        }
        queue.push(waiting);
        true
    }

    /// What goes into the next append, in the order of its coming.
    fn pop(&self) -> Vec<Waiting> {
        let mut queue = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let mut count = 0;
        let mut bytes = 0;
        for waiting in queue.iter().take(MAX_COUNT) {
            bytes += waiting.body.len();
            if count > 0 && bytes > MAX_BYTES {
                break;
            }
            count += 1;
        }
        queue.drain(..count).collect()
    }
}

/// Appends what waits, within the budget of each use, for as long as the task lives.
pub(crate) async fn run(shared: Arc<Shared>) {
    let uses = AppendPurpose::ALL.map(|of| drain(&shared, of));
    let [tickets, control] = uses;
    tokio::join!(tickets, control);
}

async fn drain(shared: &Shared, of: AppendPurpose) {
    let queue = shared.appender.queue(of);
    let start = Instant::now();
    let mut budget = AppendBudget::new(of);
    loop {
        let batch = queue.pop();
        if batch.is_empty() {
            queue.wake.notified().await;
            continue;
        }
        append(shared, batch).await;
        // What comes in during the pause goes into the next append together.
        sleep(budget.take(Time::default().after(start.elapsed()))).await;
    }
}

async fn append(shared: &Shared, batch: Vec<Waiting>) {
    let (bodies, waiting): (Vec<_>, Vec<_>) = batch.into_iter().map(|w| (w.body, w.done)).unzip();
    let answer = shared.platform.append(Stream::Fleet, bodies).await;
    // A waiter that gave up in the meantime needs no answer.
    match answer {
        Ok(first) => {
            let offsets = (first.offset.get()..).map(Offset::new);
            for (done, offset) in waiting.into_iter().zip(offsets) {
                let _ = done.send(Ok(offset));
            }
        }
        Err(e) => {
            for done in waiting {
                let _ = done.send(Err(e.clone()));
            }
        }
    }
}
