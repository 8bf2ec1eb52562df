//! Connections of callers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::request;
use crate::shared::Shared;

/// Pause after a failed `accept`, so that running out of descriptors does not spin a core.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts callers until `stop`, each on a task that `open` tracks.
pub(crate) async fn serve(
    listener: TcpListener,
    shared: Arc<Shared>,
    open: TaskTracker,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
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
    let limits = shared.settings.limits.clone();
    let service = service_fn(move |r| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(request::answer(shared, r).await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_ms.duration())
        .max_buf_size(limits.head_bytes.get() as usize)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(conn);
    tokio::select! {
        _ = conn.as_mut() => return,
        () = stop.cancelled() => conn.as_mut().graceful_shutdown(),
    }
    // The exchange in progress ends whole; the caller is told to close after it.
    let _ = conn.await;
}
