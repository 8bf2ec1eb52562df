//! A caller that keeps one connection open and uses it until the node closes it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cactuswheel_http::{Answer, Call, CallError, Connection};
use serde_json::Value;

/// Timeout of a request: above the time limit that a node gives a request without a deadline.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// How long after a request was sent its connection may end without a response: the caller cannot
/// know yet that the node is closing the connection.
pub const CLOSE_SLACK: Duration = Duration::from_millis(200);

/// A connection to a node that its caller keeps open.
#[derive(Debug)]
pub struct Session {
    peer: SocketAddr,
    conn: Connection,
}

/// How a request on an open connection ended.
#[derive(Debug)]
pub enum Outcome {
    /// With a whole response.
    Answered(Answer),
    /// The connection was closed before the request was sent, or so soon after that the caller
    /// cannot have known.
    Closed,
    /// Without a response, although the node had time to read the request.
    Cut(String),
}

/// A request on an open connection.
#[derive(Debug)]
pub struct Exchange {
    /// How the request ended.
    pub outcome: Outcome,
    /// Time from sending the request to its end.
    pub took: Duration,
}

impl Exchange {
    /// The HTTP status; `None` without a response.
    pub fn status(&self) -> Option<u16> {
        match &self.outcome {
            Outcome::Answered(answer) => Some(answer.status.as_u16()),
            _ => None,
        }
    }

    /// Whether the request was served.
    pub fn is_ok(&self) -> bool {
        self.status() == Some(200)
    }

    /// Whether the connection ended without a response although the node had time to read the
    /// request.
    pub fn is_cut(&self) -> bool {
        matches!(self.outcome, Outcome::Cut(_))
    }

    /// Whether the connection stays open: there is a response, and it does not announce the close.
    pub fn keeps_open(&self) -> bool {
        let Outcome::Answered(answer) = &self.outcome else {
            return false;
        };
        answer
            .headers
            .get("connection")
            .is_none_or(|v| v != "close")
    }

    /// Whether this is a refusal that says that the request did not run and when to come back.
    pub fn is_refusal(&self) -> bool {
        let Outcome::Answered(answer) = &self.outcome else {
            return false;
        };
        let body: Value = answer.json().unwrap_or_default();
        answer.status == 503
            && body["ran"] == "not-run"
            && answer.headers.contains_key("retry-after")
    }
}

impl Session {
    /// Opens a connection to a node and leaves it idle.
    ///
    /// # Panics
    ///
    /// If the node does not accept the connection.
    pub async fn open(peer: SocketAddr) -> Self {
        let session = Self::connect(peer).await;
        session.expect("the node accepts connections")
    }

    /// Opens a connection to a node and leaves it idle; fails if the node does not accept it.
    pub async fn connect(peer: SocketAddr) -> Result<Self, CallError> {
        let conn = Connection::open(peer, REQUEST_TIMEOUT).await?;
        Ok(Self { peer, conn })
    }

    /// Sends a `GET` for `path`.
    pub async fn get(&mut self, path: &str) -> Exchange {
        self.send(Call::get(self.peer, path)).await
    }

    /// Sends a `POST` of `body` to `path`.
    pub async fn post(&mut self, path: &str, body: &Value) -> Exchange {
        let call = Call::post(self.peer, path).with_json(body);
        self.send(call.expect("a job can be encoded as JSON")).await
    }

    /// Sends a `DELETE` for `path`.
    pub async fn delete(&mut self, path: &str) -> Exchange {
        self.send(Call::delete(self.peer, path)).await
    }

    async fn send(&mut self, call: Call) -> Exchange {
        let start = Instant::now();
        let answer = self.conn.send(call.with_timeout(REQUEST_TIMEOUT)).await;
        let took = start.elapsed();
        let outcome = match answer {
            Ok(answer) => Outcome::Answered(answer),
            Err(CallError::NotSent(..)) => Outcome::Closed,
            Err(_) if took <= CLOSE_SLACK => Outcome::Closed,
            Err(e) => Outcome::Cut(e.to_string()),
        };
        Exchange { outcome, took }
    }
}
