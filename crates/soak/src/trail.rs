//! What callers on open connections have seen.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::Value;

use crate::job_book::JobBook;
use crate::{Exchange, Outcome};

/// How long callers may use a load balancer's list after it has changed.
const LIST_DELAY: Duration = Duration::from_millis(300);

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Request {
    /// The state of an accepted job.
    State,
    /// The number of jobs that wait in a queue.
    Queue,
    /// A new job.
    Submit,
    /// The cancel of an accepted job.
    Cancel,
    /// A new connection.
    Connect,
}

/// How a request ended that a planned stop should have served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Flaw {
    /// Without a response.
    Cut,
    /// With a response that is wrong at any time.
    Wrong,
    /// With a refusal, although another node is up.
    Refused,
    /// The connection was closed without notice, or not accepted.
    Closed,
}

/// A request that did not end as it should.
#[derive(Debug, Clone)]
pub struct Complaint {
    /// What is wrong.
    pub flaw: Flaw,
    /// Index of the node.
    pub node: usize,
    /// When the connection was opened.
    pub opened: Instant,
    /// When the request was sent.
    pub sent: Instant,
    /// Time from sending the request to its end.
    pub took: Duration,
    /// What was asked for, and the response.
    pub detail: String,
}

impl Complaint {
    /// Whether the request was sent to a process that had been stopped, by one of the SIGTERMs in
    /// `stops`, and that the load balancer had removed `delay` after it.
    pub fn is_late(&self, stops: &[(usize, Instant)], delay: Duration) -> bool {
        let removed = stops.iter().filter(|(n, _)| *n == self.node);
        let mut removed = removed.map(|(_, at)| *at + delay);
        removed.any(|at| self.opened <= at + LIST_DELAY && at <= self.sent)
    }

    /// Describes the complaint: seconds of the run, milliseconds since 1970 as in the nodes' logs,
    /// and the time since the last SIGTERM of the node, which is in `stops` with its index.
    pub fn describe(&self, start: Instant, stops: &[(usize, Instant)]) -> String {
        let (flaw, node, sent) = (self.flaw, self.node, self.sent);
        let stop = stops.iter().rfind(|(n, at)| *n == node && *at < sent);
        let stopped = stop.map(|(_, at)| sent.duration_since(*at));
        let wall = SystemTime::now() - sent.elapsed();
        let wall = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
        format!(
            "{:.3} s ({}): {flaw:?} at n{node}, SIGTERM {stopped:?} before, opened {:?} before, {}, \
             after {:?}",
            sent.duration_since(start).as_secs_f64(),
            wall.as_millis(),
            sent.duration_since(self.opened),
            self.detail,
            self.took,
        )
    }
}

/// The requests on open connections and how they ended.
#[derive(Debug, Default)]
pub struct Trail {
    /// Number of requests sent.
    pub requests: usize,
    /// Number of responses other than 200, by request, status and code.
    pub refusals: BTreeMap<String, usize>,
    /// Longest time that a request took.
    pub longest: Duration,
    /// Requests that did not end as they should.
    pub complaints: Vec<Complaint>,
    /// The jobs that were submitted.
    pub jobs: JobBook,
}

impl Trail {
    /// Records a request for `path` that was sent to a node on a connection opened at `opened`.
    pub fn record(
        &mut self,
        node: usize,
        opened: Instant,
        request: Request,
        path: &str,
        exchange: &Exchange,
    ) {
        self.requests += 1;
        self.longest = self.longest.max(exchange.took);
        let answer = summary(&exchange.outcome);
        if exchange.status().is_some_and(|s| s != 200) {
            let key = format!("{request:?} {answer}");
            *self.refusals.entry(key).or_default() += 1;
        }
        if let Some(flaw) = find_flaw(request, exchange) {
            self.complaints.push(Complaint {
                flaw,
                node,
                opened,
                sent: Instant::now() - exchange.took,
                took: exchange.took,
                detail: format!("{request:?} {path}: {answer}"),
            });
        }
    }

    /// Number of requests that were cut.
    pub fn cuts(&self) -> usize {
        let cuts = self.complaints.iter().filter(|c| c.flaw == Flaw::Cut);
        cuts.count()
    }
}

/// What is wrong with the end of a request. The outcome of new jobs and cancels may be unknown, if
/// the response says so. The callers' jobs leave room on the workers, so none is refused for that.
fn find_flaw(request: Request, exchange: &Exchange) -> Option<Flaw> {
    let writes = matches!(request, Request::Submit | Request::Cancel);
    match exchange.status() {
        None if exchange.is_cut() => Some(Flaw::Cut),
        None => Some(Flaw::Closed),
        Some(200) => None,
        Some(503) if !exchange.is_refusal() => Some(Flaw::Wrong),
        Some(503) => Some(Flaw::Refused),
        Some(504) if writes => None,
        Some(_) => Some(Flaw::Wrong),
    }
}

/// Status and result code of a response, or why there is none.
fn summary(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Answered(answer) => {
            let body: Value = answer.json().unwrap_or_default();
            format!("{} code {}", answer.status.as_u16(), body["code"])
        }
        Outcome::Closed => "closed".to_owned(),
        Outcome::Cut(error) => format!("cut, {error}"),
    }
}
