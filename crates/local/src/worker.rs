//! One life of a worker.

use std::time::{Duration, Instant};

use cactuswheel_model::Map;
use cactuswheel_work::Room;
use hyper::StatusCode;
use serde_json::{Value, json};

use crate::ledger::Ledger;
use crate::store::Told;

/// Longest lease that a worker grants.
const LONGEST: u64 = 6_000;

/// Work of a task whose spec names none.
const WORK: Duration = Duration::from_millis(150);

#[derive(Debug)]
struct Run {
    run: u64,
    since: Instant,
    /// `None` for a run that lasts.
    work: Option<Duration>,
    /// Time after which it takes the worker down.
    fuse: Option<Duration>,
}

/// One life of a worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) id: String,
    pub(crate) born: u64,
    pub(crate) service: String,
    start: Instant,
    fence: u64,
    expiry: u64,
    running: Map<String, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    barred: Map<String, u64>,
    next: u64,
    /// Ends up to this number came before a lease ran out: their owner had to give them up.
    lapsed: u64,
    /// Gone: nothing of it counts any more.
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
            barred: Map::default(),
            next: 1,
            lapsed: 0,
            dead: false,
        }
    }

    fn clock(&self) -> u64 {
        1_000 + self.start.elapsed().as_millis() as u64
    }

    pub(crate) fn entry(&self, addr: &str, room: Room, number: u64) -> Value {
        json!({
            "service": self.service, "addr": addr, "zone": "local", "version": "v1", "slots": 8,
            "state": "ready", "cold_left_ms": 0, "labels": ["a", "r1"], "seq": number,
            "capacity": { "cpu": room.cpu, "mem_mb": room.memory, "gpu": room.gpu },
            "clock_ms": self.clock(), "born": self.born,
        })
    }

    /// Lets work go on; true if something ended.
    pub(crate) fn step(&mut self, ledger: &mut Ledger) -> bool {
        let before = self.ended.len();
        if self.clock() > self.expiry {
            self.lapsed = self.next - 1;
            let all: Vec<String> = self.running.keys().cloned().collect();
            for task in all {
                self.end(&task, "lapsed", ledger);
            }
        }
        let over = self
            .running
            .iter()
            .filter(|(_, r)| r.work.is_some_and(|work| r.since.elapsed() >= work));
        let over: Vec<String> = over.map(|(t, _)| t.clone()).collect();
        for task in over {
            self.end(&task, "done", ledger);
        }
        self.ended.len() > before
    }

    /// Whether a run takes the worker down now.
    pub(crate) fn crashes(&self) -> bool {
        let mut runs = self.running.values();
        runs.any(|r| r.fuse.is_some_and(|fuse| r.since.elapsed() >= fuse))
    }

    /// Everything here is gone, without an end that anybody hears of.
    pub(crate) fn die(&mut self, ledger: &mut Ledger) {
        self.dead = true;
        for (task, run) in self.running.drain() {
            ledger.ended(&task, run.run);
        }
    }

    fn end(&mut self, task: &str, how: &'static str, ledger: &mut Ledger) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        ledger.ended(task, run.run);
        let barred = self.barred.entry(task.to_owned()).or_default();
        *barred = (*barred).max(run.run);
        self.ended.push((self.next, task.to_owned(), run.run, how));
        self.next += 1;
    }

    fn shut_out(&mut self, order: &Value) -> Option<Told> {
        let fence = order["fence"].as_u64().unwrap_or_default();
        if fence < self.fence {
            return Some(self.refused("fence"));
        }
        self.fence = fence;
        None
    }

    fn refused(&self, reason: &str) -> Told {
        (
            StatusCode::CONFLICT,
            json!({ "clock_ms": self.clock(), "reason": reason }),
        )
    }

    fn renew(&mut self, order: &Value) {
        if let Some(expiry) = order["deadline_ms"].as_u64() {
            self.expiry = self.expiry.max(expiry.min(self.clock() + LONGEST));
        }
    }

    pub(crate) fn start(&mut self, order: &Value, ledger: &mut Ledger) -> Told {
        if let Some(refused) = self.shut_out(order) {
            return refused;
        }
        self.renew(order);
        let task = order["task"].as_str().unwrap_or_default().to_owned();
        let run = order["run"].as_u64().unwrap_or_default();
        if self.running.get(&task).is_some_and(|r| r.run == run) {
            return (StatusCode::OK, json!({ "clock_ms": self.clock() }));
        }
        if self.barred.get(&task).is_some_and(|b| *b >= run) {
            return self.refused("old");
        }
        let text = order["spec"].as_str().unwrap_or_default();
        let spec = text.split_once('=');
        // Of such a job it is the first task.
        let fuse = match spec {
            Some(("crash_ms", ms)) if task.ends_with(".0.0.0") => ms.parse().ok(),
            _ => None,
        };
        let work = match spec {
            Some(("work_ms", ms)) => ms.parse().ok().map(Duration::from_millis),
            Some(("lasts", _)) => None,
            _ => Some(WORK),
        };
        ledger.started(&task, run, &self.id, text);
        let since = Instant::now();
        let fuse = fuse.map(Duration::from_millis);
        self.running.insert(
            task,
            Run {
                run,
                since,
                work,
                fuse,
            },
        );
        (StatusCode::OK, json!({ "clock_ms": self.clock() }))
    }

    pub(crate) fn stop(&mut self, order: &Value, ledger: &mut Ledger) -> Told {
        if let Some(refused) = self.shut_out(order) {
            return refused;
        }
        let task = order["task"].as_str().unwrap_or_default().to_owned();
        let run = order["run"].as_u64().unwrap_or_default();
        if self.running.get(&task).is_some_and(|r| r.run == run) {
            self.end(&task, "stopped", ledger);
        }
        let barred = self.barred.entry(task).or_default();
        *barred = (*barred).max(run);
        (StatusCode::OK, json!({ "clock_ms": self.clock() }))
    }

    /// Renews and acknowledges; `None` if the answer may wait for an end.
    pub(crate) fn hold(&mut self, order: &Value, ledger: &mut Ledger) -> Result<bool, Told> {
        if let Some(refused) = self.shut_out(order) {
            return Err(refused);
        }
        self.renew(order);
        let seen = order["last_seen"].as_u64().unwrap_or_default();
        let (noted, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|(n, ..)| *n <= seen);
        self.ended = left;
        for (number, task, _, how) in noted {
            if how == "done" && number > self.lapsed {
                ledger.acknowledged(&task);
            }
        }
        Ok(!self.ended.is_empty())
    }

    pub(crate) fn lists(&self) -> Told {
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
        let lists = json!({
            "clock_ms": self.clock(), "born": self.born, "running": running, "ended": ended,
        });
        (StatusCode::OK, lists)
    }
}
