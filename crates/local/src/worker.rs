//! A worker, during one incarnation.

use std::time::{Duration, Instant};

use cactuswheel_model::Map;
use cactuswheel_work::Room;
use hyper::StatusCode;
use serde_json::{Value, json};

use crate::ledger::Ledger;
use crate::store::JsonResponse;

/// Longest lease that a worker grants, in milliseconds.
const MAX_LEASE_MS: u64 = 6_000;

/// Duration of a run whose spec gives none.
const DEFAULT_WORK: Duration = Duration::from_millis(150);

#[derive(Debug)]
struct Run {
    /// Which run of the task.
    run: u64,
    since: Instant,
    /// Duration of the run; `None` for a long-running task.
    work: Option<Duration>,
    /// Time after which the run crashes its worker.
    crash_after: Option<Duration>,
}

/// One incarnation of a worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) id: String,
    /// Start of this incarnation, in milliseconds since 1970.
    pub(crate) born: u64,
    pub(crate) service: String,
    start: Instant,
    /// Highest fencing token seen.
    fence: u64,
    /// When the lease expires, in milliseconds of the worker's clock.
    expiry: u64,
    running: Map<String, Run>,
    /// Ends that have not been acknowledged, as `(number, task, run, how)`.
    ended: Vec<(u64, String, u64, &'static str)>,
    /// Highest run of each task that has ended or was stopped; it and lower ones cannot start.
    closed: Map<String, u64>,
    /// Number of the next end.
    next_end: u64,
    /// Number of the newest end before the last expiry of the lease. The owner had to give up the
    /// runs of these ends, so an acknowledgement of them is not recorded in the ledger.
    expired_through: u64,
    /// Whether the worker has crashed or was stopped. It then responds to no request.
    pub(crate) dead: bool,
}

impl Worker {
    pub(crate) fn new(id: String, born: u64, service: String) -> Self {
        Self {
            id,
            born,
            service,
            start: Instant::now(),
            fence: 0,
            expiry: 0,
            running: Map::default(),
            ended: Vec::new(),
            closed: Map::default(),
            next_end: 1,
            expired_through: 0,
            dead: false,
        }
    }

    /// Milliseconds on the worker's own clock, which starts at 1000.
    fn clock(&self) -> u64 {
        1_000 + self.start.elapsed().as_millis() as u64
    }

    /// The entry that the worker writes about itself, with the sequence number `seq`.
    pub(crate) fn entry(&self, addr: &str, room: Room, seq: u64) -> Value {
        json!({
            "service": self.service, "addr": addr, "zone": "local", "version": "v1", "slots": 8,
            "state": "ready", "cold_left_ms": 0, "labels": ["a", "r1"], "seq": seq,
            "capacity": { "cpu": room.cpu, "mem_mb": room.memory, "gpu": room.gpu },
            "clock_ms": self.clock(), "born": self.born,
        })
    }

    /// Ends the runs that are complete, and all runs if the lease has expired. Returns whether any
    /// run has ended.
    pub(crate) fn advance(&mut self, ledger: &mut Ledger) -> bool {
        let before = self.ended.len();
        if self.clock() > self.expiry {
            self.expired_through = self.next_end - 1;
            let all: Vec<String> = self.running.keys().cloned().collect();
            for task in all {
                self.end(&task, "lapsed", ledger);
            }
        }
        let finished = self
            .running
            .iter()
            .filter(|(_, r)| r.work.is_some_and(|work| r.since.elapsed() >= work));
        let finished: Vec<String> = finished.map(|(t, _)| t.clone()).collect();
        for task in finished {
            self.end(&task, "done", ledger);
        }
        self.ended.len() > before
    }

    /// Whether a run crashes the worker now.
    pub(crate) fn crash_due(&self) -> bool {
        let mut runs = self.running.values();
        runs.any(|r| r.crash_after.is_some_and(|t| r.since.elapsed() >= t))
    }

    /// Stops the worker and all of its runs; no ends are reported.
    pub(crate) fn kill(&mut self, ledger: &mut Ledger) {
        self.dead = true;
        for (task, run) in self.running.drain() {
            ledger.record_end(&task, run.run);
        }
    }

    fn end(&mut self, task: &str, how: &'static str, ledger: &mut Ledger) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        ledger.record_end(task, run.run);
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = (*closed).max(run.run);
        self.ended
            .push((self.next_end, task.to_owned(), run.run, how));
        self.next_end += 1;
    }

    /// Refuses an order with a fencing token lower than the highest seen.
    fn check_fence(&mut self, order: &Value) -> Option<JsonResponse> {
        let fence = order["fence"].as_u64().unwrap_or_default();
        if fence < self.fence {
            return Some(self.conflict("fence"));
        }
        self.fence = fence;
        None
    }

    fn conflict(&self, reason: &str) -> JsonResponse {
        (
            StatusCode::CONFLICT,
            json!({ "clock_ms": self.clock(), "reason": reason }),
        )
    }

    fn renew_lease(&mut self, order: &Value) {
        if let Some(expiry) = order["deadline_ms"].as_u64() {
            self.expiry = self.expiry.max(expiry.min(self.clock() + MAX_LEASE_MS));
        }
    }

    pub(crate) fn start(&mut self, order: &Value, ledger: &mut Ledger) -> JsonResponse {
        if let Some(refusal) = self.check_fence(order) {
            return refusal;
        }
        self.renew_lease(order);
        let task = order["task"].as_str().unwrap_or_default().to_owned();
        let run = order["run"].as_u64().unwrap_or_default();
        if self.running.get(&task).is_some_and(|r| r.run == run) {
            return (StatusCode::OK, json!({ "clock_ms": self.clock() }));
        }
        if self.closed.get(&task).is_some_and(|b| *b >= run) {
            return self.conflict("old");
        }
        let text = order["spec"].as_str().unwrap_or_default();
        let spec = text.split_once('=');
        // Only the first task of such a job crashes its worker.
        let crash_after = match spec {
            Some(("crash_ms", ms)) if task.ends_with(".0.0.0") => ms.parse().ok(),
            _ => None,
        };
        let work = match spec {
            Some(("work_ms", ms)) => ms.parse().ok().map(Duration::from_millis),
            Some(("lasts", _)) => None,
            _ => Some(DEFAULT_WORK),
        };
        ledger.record_start(&task, run, &self.id, text);
        let since = Instant::now();
        let crash_after = crash_after.map(Duration::from_millis);
        self.running.insert(
            task,
            Run {
                run,
                since,
                work,
                crash_after,
            },
        );
        (StatusCode::OK, json!({ "clock_ms": self.clock() }))
    }

    pub(crate) fn stop(&mut self, order: &Value, ledger: &mut Ledger) -> JsonResponse {
        if let Some(refusal) = self.check_fence(order) {
            return refusal;
        }
        let task = order["task"].as_str().unwrap_or_default().to_owned();
        let run = order["run"].as_u64().unwrap_or_default();
        if self.running.get(&task).is_some_and(|r| r.run == run) {
            self.end(&task, "stopped", ledger);
        }
        let closed = self.closed.entry(task).or_default();
        *closed = (*closed).max(run);
        (StatusCode::OK, json!({ "clock_ms": self.clock() }))
    }

    /// Renews the lease and forgets the ends that the order acknowledges. Returns whether there are
    /// ends left to report; if not, the response may be delayed until a run ends.
    pub(crate) fn poll(
        &mut self,
        order: &Value,
        ledger: &mut Ledger,
    ) -> Result<bool, JsonResponse> {
        if let Some(refusal) = self.check_fence(order) {
            return Err(refusal);
        }
        self.renew_lease(order);
        let seen = order["last_seen"].as_u64().unwrap_or_default();
        let (acknowledged, remaining): (Vec<_>, Vec<_>) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|(n, ..)| *n <= seen);
        self.ended = remaining;
        for (number, task, _, how) in acknowledged {
            if how == "done" && number > self.expired_through {
                ledger.record_acknowledged(&task);
            }
        }
        Ok(!self.ended.is_empty())
    }

    /// Response to a poll: the running runs and the ends that have not been acknowledged.
    pub(crate) fn status(&self) -> JsonResponse {
        let running: Vec<Value> = self
            .running
            .iter()
            .map(|(task, run)| {
                let percent = match run.work {
                    None => 100,
                    Some(work) => {
                        run.since.elapsed().as_millis() as u64 * 100
                            / work.as_millis().max(1) as u64
                    }
                };
                json!([task, run.run, "", percent.min(100), 0])
            })
            .collect();
        let ended: Vec<Value> = self
            .ended
            .iter()
            .map(|(n, task, run, how)| json!([n, task, run, how, ""]))
            .collect();
        let status = json!({
            "clock_ms": self.clock(), "born": self.born, "running": running, "ended": ended,
        });
        (StatusCode::OK, status)
    }
}
