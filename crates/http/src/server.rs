//! A server loop for control handlers.

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

/// Time in which a peer has to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause after a failed `accept`, so that running out of descriptors does not spin a core.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers requests on `listener` with `handler` until the task is dropped.
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
            // A peer that breaks off has no one left to tell.
            let _ = conn.await;
        });
    }
}
