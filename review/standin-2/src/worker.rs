//! A worker of the platform: takes start, stop and hold orders as the protocol page says.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cactuswheel_http::{Reply, json as reply, serve};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use rand::Rng;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::http::call;
use crate::ledger::Ledger;

/// Figures of the installation.
pub const HOLD_LIMIT_MS: u64 = 10_000;
pub const GANG_WAIT: Duration = Duration::from_millis(3_000);
pub const STOP_TIME: Duration = Duration::from_millis(200);
pub const CHECKPOINT: Duration = Duration::from_millis(500);
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// The clock of a worker that has been up for some minutes when the case begins, in milliseconds.
const FIRST_CLOCK_MS: u64 = 400_000;

/// The clock of a worker that has just started again, in milliseconds.
const NEW_CLOCK_MS: u64 = 1_000;

/// What a worker does wrong at the moment.
#[derive(Debug, Clone, Copy, Default)]
pub struct Trouble {
    /// It answers nothing and is off.
    pub dark: bool,
    /// It answers starts with 503.
    pub unhealthy: bool,
    /// Share of starts and stops that get no answer and are carried out 2 to 6 s later.
    pub late: f64,
    /// It runs on, but no byte reaches it or leaves it.
    pub cut: bool,
    /// Share of runs that fail.
    pub fails: f64,
}

#[derive(Debug, Clone)]
struct Run {
    run: u64,
    /// Work that is done.
    work: Duration,
    /// When the present stretch of work began; `None` while a gang waits.
    since: Option<Instant>,
    began: Instant,
    length: Option<Duration>,
    cpu: u64,
    gang: Option<(String, u64, usize)>,
    saved: String,
    fails: bool,
    stopping: Option<Instant>,
}

#[derive(Debug)]
struct State {
    born: u64,
    boot: Instant,
    /// What the worker's clock showed at its boot, in milliseconds.
    clock_at_boot: u64,
    fence: u64,
    expiry: u64,
    running: HashMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str, String)>,
    closed: HashMap<String, u64>,
    next_end: u64,
    lapsed_through: u64,
    seq: u64,
    holds: u64,
    trouble: Trouble,
    draining: bool,
}

/// The runs of all gangs that are present anywhere.
pub type Gangs = Arc<Mutex<HashMap<(String, u64), Vec<String>>>>;

/// A worker.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub addr: SocketAddr,
    pub service: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub store: SocketAddr,
    ledger: Ledger,
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    gangs: Gangs,
    pub started: Arc<AtomicU64>,
    server: Arc<Mutex<Option<JoinHandle<()>>>>,
}

fn wall() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

impl Worker {
    /// Starts a worker on a free port.
    pub async fn start(
        id: &str,
        service: &str,
        labels: &[&str],
        cpu: u64,
        store: SocketAddr,
        ledger: Ledger,
        gangs: Gangs,
    ) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0))
            .await
            .expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let worker = Self {
            id: id.into(),
            addr,
            service: service.into(),
            labels: labels.iter().map(|l| l.to_string()).collect(),
            cpu,
            store,
            ledger,
            state: Arc::new(Mutex::new(State {
                born: wall(),
                boot: Instant::now(),
                clock_at_boot: FIRST_CLOCK_MS,
                fence: 0,
                expiry: 0,
                running: HashMap::new(),
                ended: Vec::new(),
                closed: HashMap::new(),
                next_end: 1,
                lapsed_through: 0,
                seq: 0,
                holds: 0,
                trouble: Trouble::default(),
                draining: false,
            })),
            changed: Arc::default(),
            gangs,
            started: Arc::default(),
            server: Arc::default(),
        };
        worker.listen(listener);
        tokio::spawn(worker.clone().beat());
        tokio::spawn(worker.clone().tick());
        worker
    }

    /// Serves one boot of the worker; requests of an earlier boot's connections get no answer.
    fn listen(&self, listener: TcpListener) {
        let own = self.clone();
        let born = self.lock().born;
        let server = tokio::spawn(serve(listener, move |r| own.clone().serve(r, born)));
        let mut current = self.server.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(before) = current.replace(server) {
            before.abort();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn set(&self, trouble: Trouble) {
        self.lock().trouble = trouble;
    }

    pub fn trouble(&self) -> Trouble {
        self.lock().trouble
    }

    /// How many holds were carried out.
    pub fn holds(&self) -> u64 {
        self.lock().holds
    }

    /// How much of the lease is left, in milliseconds.
    pub fn lease_left(&self) -> u64 {
        let state = self.lock();
        state.expiry.saturating_sub(Self::clock(&state))
    }

    /// The cores in use, in thousandths.
    pub fn used(&self) -> u64 {
        self.lock().running.values().map(|r| r.cpu).sum()
    }

    /// How many work units are on the worker.
    pub fn busy(&self) -> usize {
        self.lock().running.len()
    }

    /// Crashes the worker: what runs is gone, and it is off until `reboot`. A `silent` one takes
    /// connections and answers nothing, like a machine without power; else its port is closed.
    pub fn crash(&self, silent: bool) {
        let mut state = self.lock();
        state.trouble.dark = true;
        let name = format!("{}/{}", self.id, state.born);
        let runs: Vec<(String, Run)> = state.running.drain().collect();
        drop(state);
        for (task, run) in runs {
            self.left(&task, &run, &name);
        }
        if !silent {
            self.close();
        }
        self.ledger.line(format!("worker {} crashes", self.id));
    }

    /// Closes the port.
    fn close(&self) {
        let mut server = self.server.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(server) = server.take() {
            server.abort();
        }
    }

    /// Starts the worker again under its id: it knows nothing of before.
    pub async fn reboot(&self) {
        self.close();
        let listener = loop {
            match TcpListener::bind(self.addr).await {
                Ok(listener) => break listener,
                Err(_) => sleep(Duration::from_millis(10)).await,
            }
        };
        let mut state = self.lock();
        state.born = wall();
        state.boot = Instant::now();
        state.clock_at_boot = NEW_CLOCK_MS;
        state.fence = 0;
        state.expiry = 0;
        state.ended.clear();
        state.closed.clear();
        state.next_end = 1;
        state.lapsed_through = 0;
        state.seq = 0;
        state.trouble.dark = false;
        drop(state);
        self.listen(listener);
        self.ledger.line(format!("worker {} is back", self.id));
    }

    fn left(&self, task: &str, run: &Run, name: &str) {
        let mut books = self.ledger.books();
        if let Some(unit) = books.units.get_mut(task) {
            unit.live.retain(|(n, w)| *n != run.run || w != name);
        }
        drop(books);
        if let Some((gang, ..)) = &run.gang {
            let mut gangs = self.gangs.lock().unwrap_or_else(|e| e.into_inner());
            let key = (gang.clone(), run.run);
            if let Some(present) = gangs.get_mut(&key) {
                // A member that is gone breaks its gang for good.
                present.retain(|t| t != task);
                present.push("broken".into());
            }
        }
    }

    fn clock(state: &State) -> u64 {
        state.clock_at_boot + state.boot.elapsed().as_millis() as u64
    }

    async fn beat(self) {
        loop {
            let entry = {
                let mut state = self.lock();
                state.seq += 1;
                let alive = !state.trouble.dark && !state.trouble.cut;
                alive.then(|| {
                    json!({
                        "service": self.service, "addr": self.addr.to_string(), "zone": "z1",
                        "version": "v1", "slots": 8,
                        "state": if state.draining { "draining" } else { "ready" },
                        "cold_left_ms": 0, "seq": state.seq, "labels": self.labels,
                        "capacity": { "cpu": self.cpu, "mem_mb": 131_072, "gpu": 0 },
                        "clock_ms": Self::clock(&state), "born": state.born,
                    })
                })
            };
            if let Some(entry) = entry {
                let value = entry.to_string();
                let mut record = vec![self.id.len() as u8];
                record.extend_from_slice(self.id.as_bytes());
                record.extend_from_slice(value.as_bytes());
                let mut body = (record.len() as u32).to_be_bytes().to_vec();
                body.extend(record);
                let path = "/v1/log-append?topic=keyed.servers&part=0";
                let limit = Duration::from_secs(2);
                call(self.store, "POST", path, &[], body, limit).await;
            }
            sleep(HEARTBEAT).await;
        }
    }

    async fn tick(self) {
        loop {
            sleep(Duration::from_millis(10)).await;
            let mut state = self.lock();
            if state.trouble.dark {
                continue;
            }
            let mut over: Vec<(String, &'static str)> = Vec::new();
            let lapsed = Self::clock(&state) > state.expiry;
            for (task, run) in &mut state.running {
                if lapsed {
                    over.push((task.clone(), "lapsed"));
                    continue;
                }
                if run.stopping.is_some_and(|at| at.elapsed() >= STOP_TIME) {
                    over.push((task.clone(), "stopped"));
                    continue;
                }
                if run.stopping.is_some() {
                    continue;
                }
                if let Some((gang, n, count)) = &run.gang {
                    let gangs = self.gangs.lock().unwrap_or_else(|e| e.into_inner());
                    let present = gangs.get(&(gang.clone(), *n));
                    let broken = present.is_some_and(|p| p.iter().any(|t| t == "broken"));
                    let done = present.is_some_and(|p| p.iter().any(|t| t == "done"));
                    let all = present.is_some_and(|p| p.len() >= *count);
                    if done {
                        over.push((task.clone(), "done"));
                        continue;
                    }
                    if broken {
                        over.push((task.clone(), "broken"));
                        continue;
                    }
                    if all && run.since.is_none() {
                        run.since = Some(Instant::now());
                    }
                    if run.since.is_none() && run.began.elapsed() >= GANG_WAIT {
                        over.push((task.clone(), "alone"));
                        continue;
                    }
                }
                let Some(since) = run.since else { continue };
                let worked = run.work + since.elapsed();
                let steps = worked.as_millis() / CHECKPOINT.as_millis();
                let unit = match &run.gang {
                    Some((gang, ..)) => gang.clone(),
                    None => task.clone(),
                };
                if steps > 0 {
                    run.saved = format!("{unit}@{}", steps * CHECKPOINT.as_millis());
                    let mut books = self.ledger.books();
                    books
                        .units
                        .entry(unit)
                        .or_default()
                        .saved
                        .insert(run.saved.clone());
                }
                if run.length.is_some_and(|l| worked >= l) {
                    over.push((task.clone(), if run.fails { "failed" } else { "done" }));
                }
            }
            let any = !over.is_empty();
            if lapsed && any {
                state.lapsed_through = u64::MAX;
            }
            for (task, how) in over {
                self.end(&mut state, &task, how);
            }
            if state.lapsed_through == u64::MAX {
                state.lapsed_through = state.next_end - 1;
            }
            drop(state);
            if any {
                self.changed.notify_waiters();
            }
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        let name = format!("{}/{}", self.id, state.born);
        let closed = state.closed.entry(task.to_owned()).or_default();
        *closed = (*closed).max(run.run);
        state.ended.push((
            state.next_end,
            task.to_owned(),
            run.run,
            how,
            run.saved.clone(),
        ));
        state.next_end += 1;
        {
            let mut books = self.ledger.books();
            if how == "alone" {
                books.alone += 1;
            }
            let unit = books.units.entry(task.to_owned()).or_default();
            unit.live.retain(|(n, w)| *n != run.run || *w != name);
            if how == "done" {
                unit.done.push(run.run);
            }
        }
        self.ledger
            .line(format!("{} ends {task} run {} {how}", self.id, run.run));
        if let Some((gang, n, _)) = &run.gang {
            let mut gangs = self.gangs.lock().unwrap_or_else(|e| e.into_inner());
            let present = gangs.entry((gang.clone(), *n)).or_default();
            let mark = if how == "done" { "done" } else { "broken" };
            if !present.iter().any(|t| t == "done" || t == "broken") {
                present.push(mark.into());
            }
        }
    }

    async fn serve(self, request: Request<Incoming>, born: u64) -> Reply {
        let expected = request.headers().get("expect-instance").cloned();
        let path = request.uri().path().to_owned();
        let body = request.into_body().collect().await;
        let body = body.map(|b| b.to_bytes()).unwrap_or_default();
        let order: Value = serde_json::from_slice(&body).unwrap_or_default();
        let (trouble, current) = {
            let state = self.lock();
            (state.trouble, state.born)
        };
        if trouble.dark || trouble.cut || current != born {
            std::future::pending::<()>().await;
        }
        if expected.is_some_and(|e| e.as_bytes() != self.id.as_bytes()) {
            return reply(StatusCode::MISDIRECTED_REQUEST, &json!({}));
        }
        let late = path != "/v1/hold" && rand::rng().random_bool(trouble.late);
        if late {
            let pause = rand::rng().random_range(2_000..6_000);
            sleep(Duration::from_millis(pause)).await;
            if self.gone(born) {
                std::future::pending::<()>().await;
            }
            self.ledger.line(format!(
                "{} carries out late: {path} {}",
                self.id, order["task"]
            ));
        }
        let answer = match path.as_str() {
            "/v1/run-start" => self.run_start(&order),
            "/v1/run-stop" => self.run_stop(&order),
            "/v1/pace" => (
                StatusCode::OK,
                json!({ "clock_ms": Self::clock(&self.lock()) }),
            ),
            "/v1/hold" => self.hold(&order).await,
            _ => (StatusCode::NOT_FOUND, json!({})),
        };
        if late || self.gone(born) || self.trouble().cut {
            std::future::pending::<()>().await;
        }
        reply(answer.0, &answer.1)
    }

    /// Whether this boot is over.
    fn gone(&self, born: u64) -> bool {
        let state = self.lock();
        state.born != born || state.trouble.dark
    }

    fn refuse(state: &State, reason: &str) -> (StatusCode, Value) {
        let body = json!({ "clock_ms": Self::clock(state), "reason": reason });
        (StatusCode::CONFLICT, body)
    }

    fn renew(state: &mut State, order: &Value) {
        if let Some(until) = order["deadline_ms"].as_u64() {
            let most = Self::clock(state) + HOLD_LIMIT_MS;
            state.expiry = state.expiry.max(until.min(most));
        }
    }

    fn run_start(&self, order: &Value) -> (StatusCode, Value) {
        let task = order["task"].as_str().unwrap_or_default().to_owned();
        let run = order["run"].as_u64().unwrap_or_default();
        let mut state = self.lock();
        if state.trouble.unhealthy {
            let body = json!({ "clock_ms": Self::clock(&state) });
            return (StatusCode::SERVICE_UNAVAILABLE, body);
        }
        let fence = order["fence"].as_u64().unwrap_or_default();
        if fence < state.fence {
            return Self::refuse(&state, "fence");
        }
        state.fence = fence;
        if state.running.get(&task).is_some_and(|r| r.run == run) {
            return (StatusCode::OK, json!({ "clock_ms": Self::clock(&state) }));
        }
        if state.closed.get(&task).is_some_and(|c| *c >= run) {
            Self::renew(&mut state, order);
            return Self::refuse(&state, "old");
        }
        if order["deadline_ms"].as_u64().unwrap_or_default() <= Self::clock(&state) {
            return Self::refuse(&state, "late");
        }
        Self::renew(&mut state, order);
        let spec = order["spec"].as_str().unwrap_or_default().to_owned();
        let words: HashMap<&str, &str> =
            spec.split(' ').filter_map(|w| w.split_once('=')).collect();
        let parts: Vec<&str> = task.split('.').collect();
        let (job, turn, step) = (parts[0], parts[1], parts[2]);
        let found = self.ledger.books().jobs.get(job).cloned();
        let Some(found) = found else {
            self.ledger
                .fault(format!("UNASKED {task}: no caller sent this job"));
            return Self::refuse(&state, "room");
        };
        let number: usize = step.parse().unwrap_or_default();
        let plan = found.body["steps"][number].clone();
        let cpu = plan["cpu"].as_u64().unwrap_or_default();
        let used: u64 = state.running.values().map(|r| r.cpu).sum();
        if used + cpu > self.cpu {
            return Self::refuse(&state, "room");
        }
        let name = format!("{}/{}", self.id, state.born);
        let unit = format!("{job}.{turn}.{step}");
        let gang = plan["gang"].as_bool().unwrap_or(false);
        let count = plan["count"].as_u64().unwrap_or_default() as usize;
        let saved = order["last_checkpoint"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        self.judge(&found, &task, run, &unit, &plan, &spec, &saved, gang, &name);
        let mut work = Duration::ZERO;
        if let Some((_, ms)) = saved.rsplit_once('@') {
            work = Duration::from_millis(ms.parse().unwrap_or_default());
        }
        let length = words.get("work_ms").and_then(|ms| ms.parse().ok());
        let fails = state.trouble.fails;
        state.running.insert(
            task.clone(),
            Run {
                run,
                work,
                since: (!gang).then(Instant::now),
                began: Instant::now(),
                length: match plan["long_running"].as_bool() {
                    Some(true) => None,
                    _ => Some(length.map_or(Duration::from_millis(300), Duration::from_millis)),
                },
                cpu,
                gang: gang.then(|| (unit.clone(), run, count)),
                saved,
                fails: rand::rng().random_bool(fails),
                stopping: None,
            },
        );
        if gang {
            let mut gangs = self.gangs.lock().unwrap_or_else(|e| e.into_inner());
            gangs.entry((unit, run)).or_default().push(task.clone());
        }
        self.started.fetch_add(1, Ordering::Relaxed);
        self.ledger
            .line(format!("{} starts {task} run {run} fence {fence}", self.id));
        (StatusCode::OK, json!({ "clock_ms": Self::clock(&state) }))
    }

    #[allow(clippy::too_many_arguments)]
    fn judge(
        &self,
        job: &crate::ledger::Job,
        task: &str,
        run: u64,
        unit: &str,
        plan: &Value,
        spec: &str,
        saved: &str,
        gang: bool,
        name: &str,
    ) {
        let mut faults = Vec::new();
        if job.body["spec"].as_str() != Some(spec) {
            faults.push(format!("UNASKED {task}: another spec"));
        }
        if job
            .cancelled
            .is_some_and(|at| at.elapsed() > Duration::from_millis(3_000))
        {
            faults.push(format!("UNASKED {task}: started after the cancel"));
        }
        let times = job.body["times"].as_u64().unwrap_or_default();
        let turn: u64 = task
            .split('.')
            .nth(1)
            .and_then(|t| t.parse().ok())
            .unwrap_or_default();
        if times > 0 {
            let due = job.body["begin_ms"].as_u64().unwrap_or_default()
                + turn * job.body["interval_ms"].as_u64().unwrap_or_default();
            if wall() + 250 < due || turn >= times {
                faults.push(format!("ORDER {task}: before its time"));
            }
        } else if turn > 0 {
            faults.push(format!("UNASKED {task}: no such occurrence"));
        }
        if let Some(label) = plan["required_label"].as_str()
            && !self.labels.iter().any(|l| l == label)
        {
            faults.push(format!("ROUTE {task}: without the label"));
        }
        let mut books = self.ledger.books();
        let id = task.split('.').next().unwrap_or_default();
        for dep in plan["after"].as_array().into_iter().flatten() {
            let dep = dep.as_u64().unwrap_or_default();
            let count = job.body["steps"][dep as usize]["count"]
                .as_u64()
                .unwrap_or_default();
            let ended = |i: u64| {
                let unit = books.units.get(&format!("{id}.{turn}.{dep}.{i}"));
                unit.is_some_and(|u| !u.done.is_empty())
            };
            // One member's end represents the whole gang.
            let whole = match job.body["steps"][dep as usize]["gang"].as_bool() {
                Some(true) => (0..count).any(ended),
                _ => (0..count).all(ended),
            };
            if !whole {
                faults.push(format!("ORDER {task}: step {dep} is not done"));
            }
        }
        if !saved.is_empty() {
            let owner = if gang { unit } else { task };
            let known = books
                .units
                .get(owner)
                .is_some_and(|u| u.saved.contains(saved));
            if !known {
                faults.push(format!("UNASKED {task}: checkpoint {saved} is not its own"));
            }
        }
        let own = books.units.entry(task.to_owned()).or_default();
        own.starts += 1;
        if !own.live.is_empty() {
            faults.push(format!("TWICE {task} run {run} beside {:?}", own.live));
        }
        if own
            .noted
            .is_some_and(|at| at.elapsed() > Duration::from_millis(1_000))
        {
            faults.push(format!(
                "TWICE {task} run {run} after its end was taken note of"
            ));
        }
        own.live.push((run, name.to_owned()));
        drop(books);
        for fault in faults {
            self.ledger.fault(fault);
        }
    }

    fn run_stop(&self, order: &Value) -> (StatusCode, Value) {
        let task = order["task"].as_str().unwrap_or_default().to_owned();
        let run = order["run"].as_u64().unwrap_or_default();
        let mut state = self.lock();
        let fence = order["fence"].as_u64().unwrap_or_default();
        if fence < state.fence {
            return Self::refuse(&state, "fence");
        }
        state.fence = fence;
        if let Some(live) = state.running.get_mut(&task).filter(|r| r.run == run) {
            live.stopping.get_or_insert_with(Instant::now);
        } else {
            let closed = state.closed.entry(task).or_default();
            *closed = (*closed).max(run);
        }
        (StatusCode::OK, json!({ "clock_ms": Self::clock(&state) }))
    }

    async fn hold(&self, order: &Value) -> (StatusCode, Value) {
        {
            let mut state = self.lock();
            let fence = order["fence"].as_u64().unwrap_or_default();
            if fence < state.fence {
                return Self::refuse(&state, "fence");
            }
            state.fence = fence;
            state.holds += 1;
            Self::renew(&mut state, order);
            let seen = order["last_seen"].as_u64().unwrap_or_default();
            let lapsed = state.lapsed_through;
            let ends = std::mem::take(&mut state.ended);
            let (noted, left): (Vec<_>, Vec<_>) = ends.into_iter().partition(|e| e.0 <= seen);
            state.ended = left;
            for (number, task, run, how, _) in noted {
                if how == "done" && number > lapsed {
                    let mut books = self.ledger.books();
                    let unit = books.units.entry(task.clone()).or_default();
                    unit.noted.get_or_insert_with(Instant::now);
                    let after = unit.live.iter().any(|(n, _)| *n > run);
                    drop(books);
                    if after {
                        self.ledger
                            .fault(format!("TWICE {task} run {run} noted beside a later run"));
                    }
                }
            }
        }
        let wait = Duration::from_millis(order["wait_ms"].as_u64().unwrap_or_default().min(2_000));
        let ended = self.changed.notified();
        if self.lock().ended.is_empty() {
            let _ = timeout(wait, ended).await;
        }
        let state = self.lock();
        let running: Vec<Value> = state
            .running
            .iter()
            .map(|(task, r)| {
                let worked = r.work + r.since.map_or(Duration::ZERO, |s| s.elapsed());
                let percent = match r.length {
                    None => 100,
                    Some(l) => (worked.as_millis() * 100 / l.as_millis().max(1)).min(100) as u64,
                };
                json!([task, r.run, r.saved, percent, 0])
            })
            .collect();
        let ended: Vec<Value> = state
            .ended
            .iter()
            .take(500)
            .map(|(n, task, run, how, saved)| json!([n, task, run, how, saved]))
            .collect();
        let status = json!({
            "clock_ms": Self::clock(&state), "born": state.born, "running": running, "ended": ended,
        });
        (StatusCode::OK, status)
    }
}
