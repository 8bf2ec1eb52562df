//! The callers' connections of a running node, and their end.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cactuswheel_model::Time;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use tokio_util::task::TaskTracker;

use crate::connections::{self, Closing};
use crate::front::Front;
use crate::shared::Shared;
use crate::stop_schedule::StopSchedule;

/// How often a stopping node checks whether requests are still in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time in which the last responses are written, however late it is.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(100);

/// The callers' connections of a running node.
pub(crate) struct Callers {
    front: Arc<Front>,
    closing: Closing,
    open: TaskTracker,
    server: JoinHandle<()>,
}

impl Callers {
    /// Accepts connections on `listener`.
    pub(crate) fn accept(listener: TcpListener, front: Arc<Front>) -> Self {
        let (closing, open) = (Closing::default(), TaskTracker::new());
        let server = connections::serve(listener, front.clone(), open.clone(), closing.clone());
        Self {
            front,
            closing,
            open,
            server: tokio::spawn(server),
        }
    }

    /// Serves callers until they have left, or until the process has to exit.
    pub(crate) async fn wind_down(self, stop: StopSchedule) {
        let shared = self.front.shared.clone();
        let owner = shared.believed_owner();
        log::info!(
            busy = self.busy() as u64, connections = self.open.len() as u64,
            owner = owner.node, epoch = owner.epoch;
            "node stopping"
        );
        let exit = answer_all(&self.front, stop);
        let closing = self.closing.clone();
        let (front, open) = (self.front.clone(), self.open.clone());
        let finish = async {
            sleep_until(&shared, stop.refuses_connections()).await;
            closing.begun.cancel();
            let _ = self.server.await;
            drain_requests(&front, &open).await;
        };
        let complete = tokio::select! {
            () = finish => true,
            () = exit => false,
        };
        let (busy, connections) = (front.in_flight.load(Ordering::Acquire), open.len());
        // Each request that is cut logs a line.
        closing.exit.cancel();
        open.close();
        let _ = timeout(POLL_INTERVAL, open.wait()).await;
        let owner = shared.believed_owner();
        log::info!(
            whole = complete, busy = busy as u64, connections = connections as u64,
            idle_closed = front.idle_closed.load(Ordering::Relaxed) as u64,
            owner = owner.node, epoch = owner.epoch;
            "node stopped"
        );
    }

    fn busy(&self) -> usize {
        self.front.in_flight.load(Ordering::Acquire)
    }
}

async fn sleep_until(shared: &Shared, time: Time) {
    sleep(time.since(shared.clock.now())).await;
}

/// Has every request answered at the end of a stop, and returns when the process has to exit.
async fn answer_all(front: &Front, stop: StopSchedule) {
    sleep_until(&front.shared, stop.answers_all()).await;
    front.answers_due.cancel();
    // A process that was suspended may find that the time of the exit has passed.
    let left = stop.exits().since(front.shared.clock.now());
    sleep(left.max(MIN_ANSWER_TIME)).await;
}

/// Waits until every request is answered and every caller's connection is closed.
async fn drain_requests(front: &Front, open: &TaskTracker) {
    open.close();
    open.wait().await;
    while front.in_flight.load(Ordering::Acquire) > 0 {
        sleep(POLL_INTERVAL).await;
    }
}
