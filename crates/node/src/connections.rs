//! Callers' connections: accepts them, serves their requests, and closes them when the node stops.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::front::Front;

/// Pause after a failed `accept`, so that running out of file descriptors does not cause a busy
/// loop.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Timeout for receiving the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Idle time after which a stopping node closes a caller's connection.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time in which requests are read that came while the process was suspended. Its timers may fire
/// before the runtime has looked at the sockets.
const SETTLE_TIME: Duration = Duration::from_millis(20);

/// The phases of a node's stop, as seen by its callers' connections.
#[derive(Debug, Clone, Default)]
pub(crate) struct Closing {
    /// No connections are accepted, and idle ones are closed.
    pub(crate) begun: CancellationToken,
    /// The process exits: connections end, whatever they are waiting for.
    pub(crate) exit: CancellationToken,
}

/// Accepts callers' connections until the closing has begun; `open` tracks the connection tasks.
pub(crate) async fn serve(
    listener: TcpListener,
    front: Arc<Front>,
    open: TaskTracker,
    closing: Closing,
) {
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = closing.begun.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Without this, small responses wait for the caller's delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        let (front, closing) = (front.clone(), closing.clone());
        open.spawn(async move {
            let exit = closing.exit.clone();
            tokio::select! {
                () = serve_caller(stream, front, closing.begun) => {}
                () = exit.cancelled() => {}
            }
        });
    }
}

/// Counts of a connection's requests.
#[derive(Debug, Default)]
struct Requests {
    /// Requests received so far.
    received: AtomicUsize,
    /// Requests that have their response, as far as it is handed to the connection.
    answered: AtomicUsize,
}

async fn serve_caller(stream: TcpStream, front: Arc<Front>, begun: CancellationToken) {
    let requests = Arc::new(Requests::default());
    let (counts, server) = (requests.clone(), front.clone());
    let service = service_fn(move |request| {
        let (counts, front) = (counts.clone(), server.clone());
        counts.received.fetch_add(1, Ordering::Relaxed);
        async move {
            let answer = front.handle(request).await;
            counts.answered.fetch_add(1, Ordering::Relaxed);
            Ok::<_, Infallible>(answer)
        }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(conn);
    tokio::select! {
        // The connection is closed or broken, so an error cannot be sent to the caller.
        _ = conn.as_mut() => return,
        () = begun.cancelled() => {}
    }
    // Closing an idle connection at once would cut off a request that is already on its way. While
    // the node is stopping, each response closes its connection, and a connection is closed without
    // a response only when it has been idle for `IDLE_TIMEOUT`, or when a request could not be
    // answered any more before the process exits.
    loop {
        let before = requests.received.load(Ordering::Relaxed);
        let left = front.shared.idle_time_left().unwrap_or(IDLE_TIMEOUT);
        let last_chance = left <= IDLE_TIMEOUT;
        let wait = async {
            sleep(IDLE_TIMEOUT.min(left)).await;
            sleep(SETTLE_TIME).await;
        };
        tokio::select! {
            _ = conn.as_mut() => return,
            () = wait => {}
        }
        let received = requests.received.load(Ordering::Relaxed);
        if received != before && !last_chance {
            continue;
        }
        if received == requests.answered.load(Ordering::Relaxed) {
            front.idle_closed.fetch_add(1, Ordering::Relaxed);
        }
        conn.as_mut().graceful_shutdown();
        // Ends with the response to the request in flight, if there is one.
        let _ = conn.await;
        return;
    }
}
