//! Connections of callers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::answer::Answer;
use super::request;
use super::traffic::{Busy, Counted, Traffic};
use crate::Phase;
use crate::shared::Shared;

/// Buffer of a connection, in largest heads.
///
/// A head somewhat over the limit is still read, and refused with its code; one that does not
/// fit here is refused by the HTTP library, with the status alone.
const READ_AHEAD: usize = 2;

/// Time without a byte after which a stopping entry closes a caller's connection.
///
/// HTTP/1 has no way to close an idle connection that a caller cannot race: a request that is
/// under way is lost. The balancer has heard long before that the entry is not ready, so only a
/// connection on which nothing comes any more is closed.
const QUIET: Duration = Duration::from_secs(2);

/// Pause after a failed `accept`, so that running out of descriptors does not spin a core.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts callers until `stop`, each on a task that `open` tracks.
///
/// At `stop` it still takes those that wait to be accepted: closing the listener would reset
/// them, with the requests that they have sent.
pub(crate) async fn serve(
    listener: TcpListener,
    shared: Arc<Shared>,
    open: TaskTracker,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Small answers would otherwise wait for the caller's delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        open.spawn(converse(stream, shared.clone(), stop.clone()));
    }
}

async fn converse(stream: TcpStream, shared: Arc<Shared>, stop: CancellationToken) {
    let counted = shared.clone();
    let _open = counted.metrics.requests.connected();
    let traffic = Arc::new(Traffic::default());
    let io = Counted::new(stream, traffic.clone());
    let counter = traffic.clone();
    let limits = shared.settings.limits.clone();
    let service = service_fn(move |r| {
        let (shared, busy) = (shared.clone(), Busy::new(counter.clone()));
        async move { Ok::<_, Infallible>(answer(shared, r, busy).await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_ms.duration())
        .max_buf_size(READ_AHEAD * limits.head_bytes.get() as usize)
        .serve_connection(TokioIo::new(io), service);
    tokio::pin!(conn);
    tokio::select! {
        _ = conn.as_mut() => return,
        () = stop.cancelled() => {}
    }
    // The answer to a request that still comes says that it is the last one.
    tokio::select! {
        _ = conn.as_mut() => return,
        () = traffic.quiet(QUIET) => conn.as_mut().graceful_shutdown(),
    }
    let _ = conn.await;
}

async fn answer(shared: Arc<Shared>, request: Request<Incoming>, busy: Busy) -> Response<Answer> {
    let mut response = request::answer(shared.clone(), request).await;
    if shared.phase.get() == Phase::Stopping {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response.map(|body| body.with_busy(busy))
}
