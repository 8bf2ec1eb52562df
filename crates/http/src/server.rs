//! An HTTP server loop for control servers.

use std::convert::Infallible;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::Reply;

/// Timeout for a peer to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause after a failed `accept`. Without it, the loop would keep a core busy while the process is
/// out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections on `listener` and answers their requests with `handler` until the task is
/// dropped.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let answer = handler(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let conn = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            // Errors are ignored: the peer has broken the connection, so it cannot be sent a
            // response.
            let _ = conn.await;
        });
    }
}
