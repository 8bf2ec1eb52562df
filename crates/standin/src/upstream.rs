//! Stand-in of an upstream: echoes request bodies and records the requests that it ran.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::Run;
use crate::answer::Answer;
use crate::request_fault::RequestFault;

/// An in-memory upstream.
///
/// `GET /runs` lists the requests that ran, `GET /running` returns the number of running requests,
/// and after `POST /leave` all further answers announce that the upstream is leaving. Every other
/// path echoes the request body after a delay of `x-sleep-ms` milliseconds, with the fault named
/// in `x-fault`.
#[derive(Debug, Clone, Default)]
pub struct Upstream {
    name: Arc<str>,
    /// Maximum number of concurrent requests; `None` for no limit.
    slots: Option<usize>,
    /// Whether requests are not recorded.
    unrecorded: bool,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Number of requests received, whatever their outcome.
    received: u64,
    /// Delay added to every run.
    delay: Duration,
    /// Whether the connection of every request is closed without an answer.
    broken: bool,
    runs: Vec<Run>,
    running: BTreeMap<String, u32>,
    /// Number of running requests of all teams.
    total: usize,
    leaving: bool,
}

impl Upstream {
    /// Creates an upstream that puts `name` into the header `x-upstream` of its answers.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            slots: None,
            unrecorded: false,
            inner: Arc::default(),
        }
    }

    /// Refuses further requests while `slots` requests are running.
    pub fn with_slots(mut self, slots: usize) -> Self {
        self.slots = Some(slots);
        self
    }

    /// Keeps no record of requests, to bound memory in long load tests.
    pub fn without_record(mut self) -> Self {
        self.unrecorded = true;
        self
    }

    /// Delays every request from now on by `delay`.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Sets whether the connection of every request is closed without an answer.
    pub fn set_broken(&self, broken: bool) {
        self.lock().broken = broken;
    }

    /// Returns the number of requests received, whatever their outcome.
    pub fn received(&self) -> u64 {
        self.lock().received
    }

    /// Returns the recorded requests.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Serves requests on `listener` until the task is dropped.
    pub async fn serve(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            // Otherwise Nagle's algorithm holds small answers back until the entry's delayed
            // acknowledgement.
            let _ = stream.set_nodelay(true);
            let upstream = self.clone();
            let service = service_fn(move |request| upstream.clone().answer(request));
            let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(conn);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of running requests.
    fn running(&self) -> u32 {
        self.lock().running.values().sum()
    }

    /// Answers one request; an error closes the connection without an answer.
    async fn answer(self, request: Request<Incoming>) -> io::Result<Response<Answer>> {
        match request.uri().path() {
            "/runs" => return Ok(json(&self.lock().runs)),
            "/running" => return Ok(json(&self.running())),
            "/leave" => {
                self.lock().leaving = true;
                return Ok(text(StatusCode::OK, "leaving"));
            }
            _ => {}
        }
        let broken = {
            let mut inner = self.lock();
            inner.received += 1;
            inner.broken
        };
        if broken {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        // Runs in a separate task, so that a running request continues when its connection closes.
        let upstream = self.clone();
        let run = tokio::spawn(async move { upstream.run(request).await });
        let answer = run.await.map_err(io::Error::other)?;
        answer.map(|answer| self.add_headers(answer))
    }

    async fn run(&self, request: Request<Incoming>) -> io::Result<Response<Answer>> {
        let fault = match header(&request, "x-fault").parse() {
            Ok(fault) => fault,
            Err(e) => return Ok(text(StatusCode::BAD_REQUEST, e)),
        };
        let sleep_ms = header(&request, "x-sleep-ms").parse().unwrap_or(0);
        let team = header(&request, "x-cactuswheel-team");
        let request_id = header(&request, "x-request-id");
        match fault {
            RequestFault::Refuse => return Ok(refusal()),
            RequestFault::ResetBefore => return Err(io::ErrorKind::ConnectionReset.into()),
            RequestFault::Early => {
                let _running = Running::start(self, request_id, team, None);
                return Ok(text(StatusCode::OK, "early"));
            }
            _ => {}
        }
        // Reads the whole body first, because a request with a truncated body does not count as
        // run.
        let Ok(body) = request.into_body().collect().await else {
            return Ok(text(StatusCode::BAD_REQUEST, "body cut short"));
        };
        let body = body.to_bytes();
        let Some(_running) = Running::start(self, request_id, team, self.slots) else {
            return Ok(refusal());
        };
        let delay = self.lock().delay;
        sleep(Duration::from_millis(sleep_ms) + delay).await;
        match fault {
            RequestFault::ResetAfter => Err(io::ErrorKind::ConnectionReset.into()),
            RequestFault::Truncated(sent) => Ok(Response::new(Answer::truncated(body, sent))),
            RequestFault::TruncatedChunks(sent) => {
                let body = Answer::truncated(body, sent).with_chunks();
                Ok(Response::new(body))
            }
            _ => Ok(Response::new(Answer::whole(body))),
        }
    }

    fn add_headers(&self, mut answer: Response<Answer>) -> Response<Answer> {
        let headers = answer.headers_mut();
        if let Ok(name) = self.name.parse() {
            headers.insert("x-upstream", name);
        }
        if self.lock().leaving {
            headers.insert("x-cactuswheel-leaving", HeaderValue::from_static("1"));
        }
        answer
    }
}

/// Counts a request as running until dropped.
struct Running<'a> {
    upstream: &'a Upstream,
    team: String,
}

impl<'a> Running<'a> {
    /// Starts and records a request; `None` if `slots` requests are already running.
    fn start(
        upstream: &'a Upstream,
        request: String,
        team: String,
        slots: Option<usize>,
    ) -> Option<Self> {
        let mut inner = upstream.lock();
        if slots.is_some_and(|n| inner.total >= n) {
            return None;
        }
        inner.total += 1;
        let running = inner.running.entry(team.clone()).or_default();
        *running += 1;
        let beside = *running;
        if !upstream.unrecorded {
            inner.runs.push(Run {
                request,
                team: team.clone(),
                beside,
            });
        }
        Some(Self { upstream, team })
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut inner = self.upstream.lock();
        inner.total -= 1;
        if let Some(running) = inner.running.get_mut(&self.team) {
            *running -= 1;
        }
    }
}

fn header(request: &Request<Incoming>, name: &str) -> String {
    let value = request.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn refusal() -> Response<Answer> {
    let mut answer = text(StatusCode::SERVICE_UNAVAILABLE, "full");
    let value = HeaderValue::from_static("1");
    answer.headers_mut().insert("x-cactuswheel-not-run", value);
    answer
}

fn json<T: Serialize + ?Sized>(value: &T) -> Response<Answer> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    Response::new(Answer::whole(Bytes::from(text)))
}

fn text(status: StatusCode, text: impl Into<String>) -> Response<Answer> {
    let mut answer = Response::new(Answer::whole(Bytes::from(text.into())));
    *answer.status_mut() = status;
    answer
}
