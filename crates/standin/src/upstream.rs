//! An upstream's stand-in: echoes bodies and remembers what it ran.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cactuswheel_http::{Reply, json, serve, text};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::Run;

/// An upstream in memory.
///
/// `GET /runs` lists what it ran, `GET /running` counts what runs now; every other path echoes the request's body after as many
/// milliseconds as the header `x-sleep-ms` says.
#[derive(Debug, Clone, Default)]
pub struct Upstream {
    name: Arc<str>,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    runs: Vec<Run>,
    running: BTreeMap<String, u32>,
}

impl Upstream {
    /// An upstream that names itself in the header `x-upstream`.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            inner: Arc::default(),
        }
    }

    /// Answers on `listener` until the task is dropped.
    pub async fn serve(self, listener: TcpListener) {
        serve(listener, move |request| self.clone().answer(request)).await;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests that run now.
    fn running(&self) -> u32 {
        self.lock().running.values().sum()
    }

    async fn answer(self, request: Request<Incoming>) -> Reply {
        if request.uri().path() == "/runs" {
            return json(StatusCode::OK, &self.lock().runs);
        }
        if request.uri().path() == "/running" {
            return json(StatusCode::OK, &self.running());
        }
        let pause = header(&request, "x-sleep-ms").parse().unwrap_or(0);
        let team = header(&request, "x-cactuswheel-team");
        let name = header(&request, "x-request-id");
        // Read whole before it counts as run: a request cut short is not one.
        let Ok(body) = request.into_body().collect().await else {
            return text(StatusCode::BAD_REQUEST, "body cut short");
        };
        let _running = Running::start(&self, name, team);
        sleep(Duration::from_millis(pause)).await;
        let mut reply = Response::new(Full::new(body.to_bytes()));
        if let Ok(name) = self.name.parse() {
            reply.headers_mut().insert("x-upstream", name);
        }
        reply
    }
}

/// Counts a request of a team while it runs.
struct Running<'a> {
    upstream: &'a Upstream,
    team: String,
}

impl<'a> Running<'a> {
    fn start(upstream: &'a Upstream, request: String, team: String) -> Self {
        let mut inner = upstream.lock();
        let running = inner.running.entry(team.clone()).or_default();
        *running += 1;
        let beside = *running;
        inner.runs.push(Run {
            request,
            team: team.clone(),
            beside,
        });
        Self { upstream, team }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        if let Some(running) = self.upstream.lock().running.get_mut(&self.team) {
            *running -= 1;
        }
    }
}

fn header(request: &Request<Incoming>, name: &str) -> String {
    let value = request.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}
