//! The platform's machines and the executors on them (PROTOCOL.md, "Running work units" and
//! "Machines").

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Request, Response, serve};
use crate::record::{Record, wall_ms};
use crate::store::Store;

/// Bounds of a small deployment: `hold_limit_ms`, `move_s`, `upkeep_s`.
const HOLD_LIMIT_MS: u64 = 6_000;
const MOVE_TIME: Duration = Duration::from_millis(1_500);
const UPKEEP_TIME: Duration = Duration::from_millis(2_000);
/// How often executors write their entries (`heartbeat_ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Startup of a work unit that lasts, after which its percent is 100.
const STARTUP: Duration = Duration::from_millis(400);
const TICK: Duration = Duration::from_millis(10);
/// `notice_ms`: a work unit that isn't at work for this long is away, for any cause.
const NOTICE: Duration = Duration::from_millis(4_500);
/// Number of ends in one list.
const LISTED_ENDS: usize = 500;

/// What a work unit runs; the `spec` of a job holds it as JSON.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Duration of a run; 0 for work units that last.
    pub work_ms: u64,
    /// Room of a work unit.
    pub cpu: u64,
    pub mem_mb: u64,
    /// Runs up to this number end `failed`.
    pub failing_runs: u64,
}

impl Spec {
    pub fn text(&self) -> String {
        json!({
            "work_ms": self.work_ms, "cpu": self.cpu, "mem_mb": self.mem_mb,
            "failing_runs": self.failing_runs,
        })
        .to_string()
    }

    fn parse(text: &str) -> Self {
        let spec: Value = serde_json::from_str(text).unwrap_or(Value::Null);
        let number = |name: &str| spec[name].as_u64().unwrap_or(0);
        Self {
            work_ms: number("work_ms"),
            cpu: number("cpu"),
            mem_mb: number("mem_mb"),
            failing_runs: number("failing_runs"),
        }
    }
}

struct Run {
    run: u64,
    since: Instant,
    spec: Spec,
}

struct Executor {
    id: String,
    addr: SocketAddr,
    machine: usize,
    service: String,
    born: u64,
    start: Instant,
    fence: u64,
    lease: u64,
    running: HashMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    /// Highest run of each work unit that was stopped or ended here.
    closed: HashMap<String, u64>,
    next_end: u64,
    gone: bool,
}

struct Machine {
    name: String,
    zone: String,
    rack: String,
    pool: String,
    state: &'static str,
    executor: Option<usize>,
    fence: u64,
    upkeeps: Vec<u64>,
}

/// A pool of machines of one kind.
pub struct Pool {
    pub service: &'static str,
    pub count: usize,
    pub spare: bool,
}

struct State {
    executors: Vec<Executor>,
    machines: Vec<Machine>,
    next_id: u64,
    /// The executor at each address that was ever used.
    at: HashMap<SocketAddr, usize>,
    /// Steps with `may_miss` that are watched.
    budgets: Vec<Budget>,
    /// Stops that broke AVAIL.
    over_budget: u64,
    /// Number of starts of each work unit.
    starts: HashMap<String, u64>,
    /// Work units that ended `done`.
    done: HashMap<String, f64>,
    /// Number of runs that ended `failed`, by job.
    failed: HashMap<String, u64>,
}

/// The machines and executors; clones share their state.
#[derive(Clone)]
pub struct Fleet {
    state: Arc<Mutex<State>>,
    ended: Arc<Condvar>,
    store: Store,
    record: Arc<Record>,
    /// Capacity of every machine.
    cpu: u64,
    mem_mb: u64,
    spare: Arc<Vec<String>>,
}

/// Use of a service's executors at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    pub cpu: u64,
    pub used_cpu: u64,
    pub mem_mb: u64,
    pub used_mem_mb: u64,
    /// How many more work units of a given size fit.
    pub fits: u64,
}

impl Fleet {
    /// Starts the machines; returns the address of the service that lists and orders them.
    pub fn start(
        store: Store,
        record: Arc<Record>,
        pools: &[Pool],
        zones: &[&str],
        (cpu, mem_mb): (u64, u64),
    ) -> (Self, SocketAddr) {
        let spare = pools.iter().filter(|p| p.spare);
        let fleet = Self {
            state: Arc::new(Mutex::new(State {
                executors: Vec::new(),
                machines: Vec::new(),
                next_id: 1,
                at: HashMap::new(),
                budgets: Vec::new(),
                over_budget: 0,
                starts: HashMap::new(),
                done: HashMap::new(),
                failed: HashMap::new(),
            })),
            ended: Arc::default(),
            store,
            record,
            cpu,
            mem_mb,
            spare: Arc::new(spare.map(|p| p.service.to_owned()).collect()),
        };
        for pool in pools {
            for number in 0..pool.count {
                let mut state = fleet.lock();
                state.machines.push(Machine {
                    name: format!("m-{}-{number}", pool.service),
                    zone: zones[number % zones.len()].to_owned(),
                    rack: format!("r{}-{}", number % zones.len(), number / 4),
                    pool: pool.service.to_owned(),
                    state: "up",
                    executor: None,
                    fence: 0,
                    upkeeps: Vec::new(),
                });
                let index = state.machines.len() - 1;
                drop(state);
                fleet.boot(index, None);
            }
        }
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let served = fleet.clone();
        serve(listener, move |r| Some(served.machines(&r)));
        let ticking = fleet.clone();
        std::thread::spawn(move || ticking.tick());
        (fleet, addr)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Starts an executor on a machine, unless the machine is in the spare pool: at the address
    /// that the last one had, or at a free one.
    fn boot(&self, machine: usize, last: Option<SocketAddr>) {
        let addr = last.unwrap_or_else(|| self.listen());
        let mut state = self.lock();
        state.machines[machine].state = "up";
        let service = state.machines[machine].pool.clone();
        if self.spare.contains(&service) {
            return;
        }
        let id = format!("i-{:08x}", state.next_id);
        state.next_id += 1;
        let index = state.executors.len();
        state.machines[machine].executor = Some(index);
        state.at.insert(addr, index);
        state.executors.push(Executor {
            id,
            addr,
            machine,
            service,
            born: wall_ms(),
            start: Instant::now(),
            fence: 0,
            lease: 0,
            running: HashMap::new(),
            ended: Vec::new(),
            closed: HashMap::new(),
            next_end: 1,
            gone: false,
        });
        drop(state);
        self.beat(index, 1);
    }

    /// Listens on a free address; orders go to the executor that is there when they arrive.
    fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let served = self.clone();
        serve(listener, move |r| {
            let index = served.lock().at.get(&addr).copied()?;
            served.order(index, &r)
        });
        addr
    }

    /// Crashes the executor that runs a work unit; another one is at its address `down` later. The
    /// entry of the first is removed after three heartbeats of silence.
    pub fn crash(&self, task: &str, down: Duration) -> Option<String> {
        let mut state = self.lock();
        let mut executors = state.executors.iter_mut();
        let executor = executors.find(|e| !e.gone && e.running.contains_key(task))?;
        executor.gone = true;
        executor.running.clear();
        let (id, addr, machine) = (executor.id.clone(), executor.addr, executor.machine);
        state.at.remove(&addr);
        state.machines[machine].executor = None;
        state.machines[machine].state = "down";
        drop(state);
        self.ended.notify_all();
        let (fleet, entry) = (self.clone(), id.clone());
        std::thread::spawn(move || {
            std::thread::sleep(down);
            fleet.boot(machine, Some(addr));
            std::thread::sleep(3 * HEARTBEAT - down);
            fleet.store.put("keyed.servers", &entry, &[]);
        });
        Some(id)
    }

    /// Watches a step of a job with `may_miss`.
    pub fn watch_budget(&self, job: &str, count: usize, may_miss: usize) {
        let never = Instant::now();
        self.lock().budgets.push(Budget {
            step: format!("{job}.0.0."),
            may_miss,
            units: vec![(never, false); count],
        });
    }

    /// Number of stops so far that broke AVAIL.
    pub fn over_budget(&self) -> u64 {
        self.lock().over_budget
    }

    /// How many work units of a watched step are at work.
    pub fn at_work(&self, job: &str) -> usize {
        let state = self.lock();
        let alive = state.executors.iter().filter(|e| !e.gone);
        let runs = alive.flat_map(|e| e.running.iter());
        runs.filter(|(task, r)| task.starts_with(job) && r.is_at_work())
            .count()
    }

    fn beat(&self, index: usize, seq: u64) {
        let (id, entry) = {
            let state = self.lock();
            let executor = &state.executors[index];
            if executor.gone {
                return;
            }
            let machine = &state.machines[executor.machine];
            let entry = json!({
                "service": executor.service, "addr": executor.addr.to_string(),
                "zone": machine.zone, "version": "v1", "slots": 8, "state": "ready",
                "cold_left_ms": 0, "seq": seq, "labels": ["a", machine.rack],
                "capacity": { "cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0 },
                "clock_ms": executor.clock(), "born": executor.born,
            });
            (executor.id.clone(), entry)
        };
        self.store
            .put("keyed.servers", &id, entry.to_string().as_bytes());
    }

    /// Advances all runs and writes the executors' entries.
    fn tick(&self) {
        let mut last = Instant::now();
        let mut seq = 1;
        loop {
            std::thread::sleep(TICK);
            let mut any = false;
            {
                let state = &mut *self.lock();
                state.update_budgets();
                for executor in state.executors.iter_mut().filter(|e| !e.gone) {
                    for (task, run, how) in executor.advance() {
                        any = true;
                        self.record.line(format!(
                            "executor {}: {task} run {run} ended {how}",
                            executor.id
                        ));
                        if how == "done" {
                            state.done.entry(task).or_insert_with(|| self.record.now());
                        } else if how == "failed" {
                            let job = task.split('.').next().unwrap_or_default().to_owned();
                            *state.failed.entry(job).or_default() += 1;
                        }
                    }
                }
            }
            if any {
                self.ended.notify_all();
            }
            if last.elapsed() >= HEARTBEAT {
                last = Instant::now();
                seq += 1;
                let count = self.lock().executors.len();
                (0..count).for_each(|i| self.beat(i, seq));
            }
        }
    }

    /// Answers an order to an executor; `None` once it is gone.
    fn order(&self, index: usize, request: &Request) -> Option<Response> {
        let body = request.json();
        let mut state = self.lock();
        let executor = &mut state.executors[index];
        if executor.gone {
            return None;
        }
        let expected = request.header("expect-instance");
        if expected.is_some_and(|e| e != executor.id) {
            return Some(Response::json(
                421,
                &json!({ "clock_ms": executor.clock() }),
            ));
        }
        let fence = body["fence"].as_u64().unwrap_or(0);
        if fence < executor.fence {
            return Some(executor.conflict("fence"));
        }
        executor.fence = fence;
        let clock = executor.clock();
        if let Some(deadline) = body["deadline_ms"].as_u64() {
            executor.lease = executor.lease.max(deadline.min(clock + HOLD_LIMIT_MS));
        }
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        match request.path.as_str() {
            "/v1/run-start" => Some(self.run_start(&mut state, index, &body, task, run)),
            "/v1/run-stop" => {
                let stopped = executor.running.get(&task).filter(|r| r.run == run);
                if let Some(stopped) = stopped {
                    let at_work = stopped.is_at_work();
                    let id = executor.id.clone();
                    executor.end(&task, "stopped");
                    if let Some(breach) = state.stop_in_budget(&task, at_work) {
                        self.record
                            .say(format!("AVAIL: {task} run {run} on {id}: {breach}"));
                    }
                    self.record
                        .line(format!("executor {id}: {task} run {run} ended stopped"));
                    self.ended.notify_all();
                }
                let executor = &mut state.executors[index];
                let closed = executor.closed.entry(task).or_default();
                *closed = (*closed).max(run);
                Some(Response::json(200, &json!({ "clock_ms": clock })))
            }
            "/v1/pace" => Some(Response::json(200, &json!({ "clock_ms": clock }))),
            "/v1/hold" => {
                let seen = body["last_seen"].as_u64().unwrap_or(0);
                executor.ended.retain(|(n, ..)| *n > seen);
                let wait = body["wait_ms"].as_u64().unwrap_or(0).min(2_000);
                let until = Instant::now() + Duration::from_millis(wait);
                while state.executors[index].ended.is_empty() {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() || state.executors[index].gone {
                        break;
                    }
                    state = self
                        .ended
                        .wait_timeout(state, left)
                        .expect("no holder panics")
                        .0;
                }
                let executor = &state.executors[index];
                (!executor.gone).then(|| executor.lists())
            }
            _ => Some(Response::json(404, &json!({}))),
        }
    }

    fn run_start(
        &self,
        state: &mut State,
        index: usize,
        body: &Value,
        task: String,
        run: u64,
    ) -> Response {
        let executor = &mut state.executors[index];
        let clock = executor.clock();
        if executor.running.get(&task).is_some_and(|r| r.run == run) {
            return Response::json(200, &json!({ "clock_ms": clock }));
        }
        if executor.closed.get(&task).is_some_and(|c| *c >= run) {
            return executor.conflict("old");
        }
        if body["deadline_ms"].as_u64().is_some_and(|d| d <= clock) {
            return executor.conflict("late");
        }
        let spec = Spec::parse(body["spec"].as_str().unwrap_or_default());
        let used = executor.used();
        if used.0 + spec.cpu > self.cpu || used.1 + spec.mem_mb > self.mem_mb {
            return executor.conflict("room");
        }
        let id = executor.id.clone();
        let since = Instant::now();
        executor
            .running
            .insert(task.clone(), Run { run, since, spec });
        self.record
            .line(format!("executor {id}: {task} run {run} starts"));
        *state.starts.entry(task).or_default() += 1;
        Response::json(200, &json!({ "clock_ms": clock }))
    }

    /// Answers the list of machines and orders to them.
    fn machines(&self, request: &Request) -> Response {
        let mut state = self.lock();
        if request.path == "/v1/machines" {
            let rows = state.machines.iter().map(|m| {
                let executor = m.executor.map(|e| state.executors[e].id.clone());
                json!({
                    "machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone,
                    "labels": ["a", m.rack], "id": executor,
                    "capacity": { "cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0 },
                })
            });
            let rows: Vec<Value> = rows.collect();
            return Response::json(200, &json!({ "machines": rows, "next_token": null }));
        }
        let order = request.json();
        let name = order["machine"].as_str().unwrap_or_default();
        let Some(index) = state.machines.iter().position(|m| m.name == name) else {
            return Response::json(400, &json!({}));
        };
        let fence = request
            .header("fence-token")
            .and_then(|f| f.parse().ok())
            .unwrap_or(0);
        let conflict = |reason: &str| Response::json(409, &json!({ "reason": reason }));
        let machine = &mut state.machines[index];
        if fence < machine.fence {
            return conflict("fence");
        }
        machine.fence = fence;
        let wave = order["wave"].as_u64();
        let done = match wave {
            Some(wave) => machine.upkeeps.contains(&wave),
            None => Some(machine.pool.as_str()) == order["pool"].as_str(),
        };
        if done {
            return Response::json(200, &json!({}));
        }
        if machine.state != "up" {
            return conflict("busy");
        }
        let time = match wave {
            Some(wave) => {
                machine.upkeeps.push(wave);
                machine.state = "upkeep";
                UPKEEP_TIME
            }
            None => {
                machine.pool = order["pool"].as_str().unwrap_or_default().to_owned();
                machine.state = "moving";
                MOVE_TIME
            }
        };
        self.record.line(format!(
            "machine {}: {} to {}",
            machine.name, machine.state, machine.pool
        ));
        if let Some(executor) = machine.executor.take() {
            let executor = &mut state.executors[executor];
            executor.gone = true;
            executor.running.clear();
            let id = executor.id.clone();
            drop(state);
            self.store.put("keyed.servers", &id, &[]);
            self.ended.notify_all();
        }
        let fleet = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(time);
            fleet.boot(index, None);
        });
        Response::json(200, &json!({}))
    }

    /// What runs on all executors together: an upper limit of what any tenant has running.
    pub fn tenant_use(&self) -> (u64, u64) {
        let state = self.lock();
        let used = state
            .executors
            .iter()
            .filter(|e| !e.gone)
            .map(Executor::used);
        used.fold((0, 0), |sum, u| (sum.0 + u.0, sum.1 + u.1))
    }

    /// Whether any work unit of a job runs now.
    pub fn runs(&self, job: &str) -> bool {
        let state = self.lock();
        let mut alive = state.executors.iter().filter(|e| !e.gone);
        alive.any(|e| e.running.keys().any(|t| t.starts_with(job)))
    }

    /// Number of starts of a job's work units so far.
    pub fn starts(&self, job: &str) -> u64 {
        let state = self.lock();
        let of_job = state.starts.iter().filter(|(t, _)| t.starts_with(job));
        of_job.map(|(_, n)| n).sum()
    }

    /// Number of a job's work units that ended `done`.
    pub fn done(&self, job: &str) -> u64 {
        self.lock()
            .done
            .keys()
            .filter(|t| t.starts_with(job))
            .count() as u64
    }

    /// Number of a job's runs that ended `failed`.
    pub fn failed(&self, job: &str) -> u64 {
        self.lock().failed.get(job).copied().unwrap_or(0)
    }

    /// Use of a service's executors, and how many more work units of this size fit.
    pub fn usage(&self, service: &str, cpu: u64, mem_mb: u64) -> Usage {
        let state = self.lock();
        let mut sum = Usage::default();
        let alive = state.executors.iter();
        for executor in alive.filter(|e| !e.gone && e.service == service) {
            let used = executor.used();
            sum.cpu += self.cpu;
            sum.mem_mb += self.mem_mb;
            sum.used_cpu += used.0;
            sum.used_mem_mb += used.1;
            let by_cpu = (self.cpu - used.0).checked_div(cpu).unwrap_or(u64::MAX);
            let by_mem = (self.mem_mb - used.1)
                .checked_div(mem_mb)
                .unwrap_or(u64::MAX);
            sum.fits += by_cpu.min(by_mem);
        }
        sum
    }
}

/// A step with `may_miss` that is watched for AVAIL.
struct Budget {
    /// Beginning of the names of its work units.
    step: String,
    may_miss: usize,
    /// When each work unit was last at work, and whether an order has ended it since.
    units: Vec<(Instant, bool)>,
}

impl State {
    /// Notes which work units of the watched steps are at work now.
    fn update_budgets(&mut self) {
        let now = Instant::now();
        for executor in self.executors.iter().filter(|e| !e.gone) {
            for (task, _) in executor.running.iter().filter(|(_, r)| r.is_at_work()) {
                for budget in &mut self.budgets {
                    if let Some(unit) = budget.unit(task) {
                        *unit = (now, false);
                    }
                }
            }
        }
    }

    /// Notes that an order has ended a work unit; says how, if that broke AVAIL.
    fn stop_in_budget(&mut self, task: &str, at_work: bool) -> Option<String> {
        let budget = self
            .budgets
            .iter_mut()
            .find(|b| task.starts_with(&b.step))?;
        let unit = budget.unit(task)?;
        unit.1 = true;
        let away = |u: &&(Instant, bool)| u.1 || u.0.elapsed() >= NOTICE;
        let others = budget.units.iter().filter(away).count() - 1;
        if !at_work || others < budget.may_miss {
            return None;
        }
        self.over_budget += 1;
        Some(format!(
            "at work, ended by a stop while {others} others of its step are away; {} may be",
            budget.may_miss
        ))
    }
}

impl Budget {
    fn unit(&mut self, task: &str) -> Option<&mut (Instant, bool)> {
        let index: usize = task.strip_prefix(&self.step)?.parse().ok()?;
        self.units.get_mut(index)
    }
}

impl Run {
    /// Whether a work unit that lasts has started up.
    fn is_at_work(&self) -> bool {
        self.spec.work_ms == 0 && self.since.elapsed() >= STARTUP
    }
}

impl Executor {
    fn clock(&self) -> u64 {
        1_000 + self.start.elapsed().as_millis() as u64
    }

    fn conflict(&self, reason: &str) -> Response {
        Response::json(409, &json!({ "clock_ms": self.clock(), "reason": reason }))
    }

    fn used(&self) -> (u64, u64) {
        let runs = self.running.values();
        runs.fold((0, 0), |u, r| (u.0 + r.spec.cpu, u.1 + r.spec.mem_mb))
    }

    /// Ends the runs that are over, and all runs once the lease has lapsed.
    fn advance(&mut self) -> Vec<(String, u64, &'static str)> {
        let lapsed = self.clock() > self.lease;
        let over = self.running.iter().filter_map(|(task, r)| {
            let worked =
                r.spec.work_ms > 0 && r.since.elapsed().as_millis() as u64 >= r.spec.work_ms;
            let how = match (lapsed, worked) {
                (true, _) => "lapsed",
                (_, true) if r.run <= r.spec.failing_runs => "failed",
                (_, true) => "done",
                _ => return None,
            };
            Some((task.clone(), r.run, how))
        });
        let over: Vec<_> = over.collect();
        for (task, _, how) in &over {
            self.end(task, how);
        }
        over
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = (*closed).max(run.run);
        self.ended
            .push((self.next_end, task.to_owned(), run.run, how));
        self.next_end += 1;
    }

    fn lists(&self) -> Response {
        let running = self.running.iter().map(|(task, r)| {
            let age = r.since.elapsed();
            let percent = match r.spec.work_ms {
                0 if age >= STARTUP => 100,
                0 => 0,
                work => (age.as_millis() as u64 * 100 / work).min(99),
            };
            json!([task, r.run, "", percent, r.spec.cpu])
        });
        let running: Vec<Value> = running.collect();
        let ended = self.ended.iter().take(LISTED_ENDS);
        let ended: Vec<Value> = ended
            .map(|(n, t, r, how)| json!([n, t, r, how, ""]))
            .collect();
        Response::json(
            200,
            &json!({
                "clock_ms": self.clock(), "born": self.born, "running": running, "ended": ended,
            }),
        )
    }
}
