//! Serves the load balancer's readiness probes.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use cactuswheel_adapter::READY_PATH;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::connections::ACCEPT_PAUSE;
use crate::shared::Shared;

/// Serves readiness probes until the task is dropped.
pub(crate) async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let status = status(&shared, &request);
                async move { Ok::<_, Infallible>(empty_response(status)) }
            });
            let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // A load balancer whose connection fails probes again.
            let _ = conn.await;
        });
    }
}

fn status(shared: &Shared, request: &Request<Incoming>) -> StatusCode {
    if request.uri().path() != READY_PATH {
        return StatusCode::NOT_FOUND;
    }
    match shared.is_ready() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}
