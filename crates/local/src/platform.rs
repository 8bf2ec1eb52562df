//! The platform and its HTTP servers.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cactuswheel_http::{Reply, json as reply, serve};
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::instances::Instance;
use crate::ledger::Ledger;
use crate::query::ParsedRequest;
use crate::state::{Faults, State, WORKER_ROOM};
use crate::store::{JsonResponse, Store};
use crate::worker::Worker;

/// Interval at which the workers' runs are advanced.
const TICK: Duration = Duration::from_millis(10);

/// Interval at which workers write their entries.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time that a move to another pool or maintenance takes.
const ORDER_DURATION: Duration = Duration::from_millis(400);

/// Time after which a worker that one of its runs has crashed is replaced by a new one.
const RESTART_DELAY: Duration = Duration::from_millis(800);

/// A pool of instances.
#[derive(Debug, Clone)]
pub struct Pool {
    /// Name of the pool and of the service that it serves.
    pub service: String,
    /// Number of instances in the pool.
    pub count: usize,
    /// Whether the instances are powered off, so that no worker runs on them.
    pub spare: bool,
}

/// State that all clones of a [`Platform`] share.
struct Inner {
    state: Mutex<State>,
    /// Notified when the store has new records or a run has ended.
    changed: Notify,
    host: IpAddr,
    /// Names of the pools whose instances are powered off.
    spare_pools: Vec<String>,
}

/// The platform on loopback; clones share its state.
#[derive(Clone)]
pub struct Platform {
    inner: Arc<Inner>,
    store_addr: SocketAddr,
    instances_addr: SocketAddr,
}

impl Platform {
    /// Starts the platform on `host`. `seed` determines which calls the faults given in percent
    /// hit.
    pub async fn start(host: IpAddr, pools: &[Pool], seed: u64) -> std::io::Result<Self> {
        let store = TcpListener::bind((host, 0)).await?;
        let cloud = TcpListener::bind((host, 0)).await?;
        let spare = pools.iter().filter(|p| p.spare);
        let inner = Arc::new(Inner {
            state: Mutex::new(State {
                store: Store::default(),
                workers: Vec::new(),
                instances: Vec::new(),
                ledger: Ledger::default(),
                faults: Faults::default(),
                rng: seed | 1,
                last_id: 0,
                advertised: Vec::new(),
            }),
            changed: Notify::new(),
            host,
            spare_pools: spare.map(|p| p.service.clone()).collect(),
        });
        let platform = Self {
            store_addr: store.local_addr()?,
            instances_addr: cloud.local_addr()?,
            inner,
        };
        for pool in pools {
            for number in 0..pool.count {
                platform.add_instance(pool, number);
            }
        }
        let served = platform.clone();
        tokio::spawn(serve(store, move |r| served.clone().serve_store(r)));
        let served = platform.clone();
        tokio::spawn(serve(cloud, move |r| served.clone().serve_instances(r)));
        let count = platform.lock().instances.len();
        for index in 0..count {
            platform.start_worker(index).await?;
        }
        tokio::spawn(platform.clone().run_workers());
        Ok(platform)
    }

    /// Address of the store.
    pub fn store_addr(&self) -> SocketAddr {
        self.store_addr
    }

    /// Address of the service that lists the instances and takes orders to them.
    pub fn instances_addr(&self) -> SocketAddr {
        self.instances_addr
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Deletes all records of the store; the newest value of each key stays available.
    pub fn compact(&self) {
        self.lock().store.compact();
    }

    /// Writes a record on behalf of an operator.
    pub fn put(&self, key: &str, value: &Value) {
        let value = value.to_string();
        self.lock().store.put("keyed.op", key, value.as_bytes());
        self.inner.changed.notify_waiters();
    }

    /// Removes a record on behalf of an operator.
    pub fn remove(&self, key: &str) {
        self.lock().store.put("keyed.op", key, &[]);
        self.inner.changed.notify_waiters();
    }

    /// Newest status record for the operators under `key`, if it is JSON.
    pub fn status(&self, key: &str) -> Option<Value> {
        let newest = self.lock().store.newest_value("keyed.status", key)?;
        serde_json::from_slice(&newest).ok()
    }

    /// Whether the intake holds an open job's submission. If not, a front end has handed the job in
    /// to the owner of the cell, which wrote it to the journal.
    pub fn in_intake(&self, job: &str) -> bool {
        self.lock()
            .store
            .has_key("keyed.intake", &format!("s{job}"))
    }

    /// Crashes the worker on one instance, chosen by `pick` among those with a worker. After
    /// `pause`, a new worker starts on the instance, with the same id if `same_id`.
    pub fn crash(&self, pick: usize, pause: Duration, same_id: bool) {
        let mut state = self.lock();
        let up: Vec<usize> = (0..state.instances.len())
            .filter(|p| state.instances[*p].worker.is_some())
            .collect();
        let Some(index) = up.get(pick % up.len().max(1)).copied() else {
            return;
        };
        let id = state.kill_worker(index);
        drop(state);
        let platform = self.clone();
        tokio::spawn(async move {
            sleep(pause).await;
            if same_id {
                let _ = platform.start_worker_as(index, id, 0).await;
            } else {
                let _ = platform.start_worker(index).await;
            }
        });
    }

    /// Reads the ledger.
    pub fn ledger<T>(&self, read: impl FnOnce(&Ledger) -> T) -> T {
        read(&self.lock().ledger)
    }

    /// Makes workers that listen on `own` write `advertised` into their entries instead, such as
    /// the address of a proxy.
    pub fn advertise(&self, own: SocketAddr, advertised: SocketAddr) {
        self.lock().advertised.push((own, advertised));
    }

    /// Number of instances in a pool on which a worker runs.
    pub fn serving_count(&self, pool: &str) -> usize {
        let state = self.lock();
        let up = state.instances.iter();
        up.filter(|s| s.pool == pool && s.worker.is_some()).count()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.inner.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    fn add_instance(&self, pool: &Pool, number: usize) {
        self.lock().instances.push(Instance {
            name: format!("m-{}-{number}", pool.service),
            pool: pool.service.clone(),
            state: "up",
            worker: None,
            fence: 0,
            maintained: Vec::new(),
        });
    }

    async fn start_worker(&self, index: usize) -> std::io::Result<()> {
        let id = self.next_worker_id();
        self.start_worker_as(index, id, 0).await
    }

    fn next_worker_id(&self) -> String {
        let mut state = self.lock();
        state.last_id += 1;
        format!("i-{}", state.last_id)
    }

    /// Kills the workers that one of their runs crashes. After [`RESTART_DELAY`], a new worker
    /// starts at the same address.
    fn replace_crashed(&self, state: &mut State) {
        for index in 0..state.instances.len() {
            let worker_index = state.instances[index].worker;
            let Some((_, addr)) = worker_index
                .map(|n| &state.workers[n])
                .filter(|(w, _)| w.crash_due())
            else {
                continue;
            };
            let port = addr.port();
            state.kill_worker(index);
            let platform = self.clone();
            tokio::spawn(async move {
                sleep(RESTART_DELAY).await;
                let id = platform.next_worker_id();
                // If the port is taken by then, the instance stays without a worker.
                let _ = platform.start_worker_as(index, id, port).await;
            });
        }
    }

    async fn start_worker_as(&self, index: usize, id: String, port: u16) -> std::io::Result<()> {
        let spare = {
            let mut state = self.lock();
            state.instances[index].state = "up";
            self.inner
                .spare_pools
                .contains(&state.instances[index].pool)
        };
        if spare {
            return Ok(());
        }
        let listener = TcpListener::bind((self.inner.host, port)).await?;
        let addr = listener.local_addr()?;
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = since.unwrap_or_default().as_millis() as u64;
        let worker_index = {
            let mut state = self.lock();
            let service = state.instances[index].pool.clone();
            let worker_index = state.workers.len();
            state.workers.push((Worker::new(id, born, service), addr));
            state.instances[index].worker = Some(worker_index);
            worker_index
        };
        let platform = self.clone();
        let handler = move |r| platform.clone().serve_worker(worker_index, r);
        let server = tokio::spawn(serve(listener, handler));
        let platform = self.clone();
        tokio::spawn(async move {
            while !platform.lock().workers[worker_index].0.dead {
                sleep(TICK).await;
            }
            // Closes the listener. Requests on open connections get no response any more.
            server.abort();
        });
        Ok(())
    }

    /// Advances the workers' runs and writes the workers' entries.
    async fn run_workers(self) {
        let mut last_beat = Instant::now();
        let mut seq = 0;
        loop {
            sleep(TICK).await;
            let mut state = self.lock();
            let state = &mut *state;
            let mut ended = false;
            for (worker, _) in state.workers.iter_mut().filter(|(w, _)| !w.dead) {
                ended |= worker.advance(&mut state.ledger);
            }
            self.replace_crashed(state);
            let beat_due = last_beat.elapsed() >= HEARTBEAT_INTERVAL || seq == 0;
            if beat_due {
                last_beat = Instant::now();
                seq += 1;
                for (worker, addr) in state.workers.iter().filter(|(w, _)| !w.dead) {
                    let advertised = state.advertised.iter().find(|(own, _)| own == addr);
                    let advertised = advertised.map_or(*addr, |(_, t)| *t).to_string();
                    let entry = worker.entry(&advertised, WORKER_ROOM, seq).to_string();
                    state
                        .store
                        .put("keyed.servers", &worker.id, entry.as_bytes());
                }
            }
            if ended || beat_due {
                self.inner.changed.notify_waiters();
            }
        }
    }

    async fn serve_store(self, request: Request<Incoming>) -> Reply {
        let parsed = ParsedRequest::read(request).await;
        let faults = self.lock().faults;
        let part = parsed.number("part");
        if faults.store_down || (part.is_some() && part == faults.part_down) {
            return reply(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
        }
        match parsed.path.as_str() {
            "/v1/log-append" => {
                let (response, lost) = {
                    let mut state = self.lock();
                    let response = state.store.append(&parsed);
                    let percent = state.faults.lost_writes;
                    (response, state.chance(percent))
                };
                self.inner.changed.notify_waiters();
                if lost {
                    sleep(Duration::from_secs(5)).await;
                }
                json_response(response)
            }
            "/v1/log-read" => self.read(parsed).await,
            "/v1/log-newest" => json_response(self.lock().store.newest(&parsed)),
            _ => reply(StatusCode::NOT_FOUND, &json!({})),
        }
    }

    async fn read(&self, parsed: ParsedRequest) -> Reply {
        let wait = Duration::from_millis(parsed.number("wait_ms").unwrap_or_default());
        let found = timeout(wait, async {
            loop {
                let changed = self.inner.changed.notified();
                match self.lock().store.read(&parsed) {
                    Ok(None) => {}
                    found => return found,
                }
                changed.await;
            }
        });
        match found.await {
            Ok(Ok(Some(body))) => binary_response(body),
            Ok(Err(response)) => json_response(response),
            _ => binary_response(self.lock().store.empty_page(&parsed)),
        }
    }

    async fn serve_worker(self, worker_index: usize, request: Request<Incoming>) -> Reply {
        let expected = request.headers().get("expect-instance").cloned();
        let parsed = ParsedRequest::read(request).await;
        let order = parsed.json();
        if self.lock().workers[worker_index].0.dead {
            std::future::pending::<()>().await;
        }
        let wait = Duration::from_millis(order["wait_ms"].as_u64().unwrap_or_default());
        let (response, lost) = {
            let mut state = self.lock();
            let state = &mut *state;
            let worker = &mut state.workers[worker_index].0;
            let other = expected.is_some_and(|e| e.as_bytes() != worker.id.as_bytes());
            let response = match (other, parsed.path.as_str()) {
                (true, _) => Some((StatusCode::MISDIRECTED_REQUEST, json!({}))),
                (_, "/v1/run-start") => Some(worker.start(&order, &mut state.ledger)),
                (_, "/v1/run-stop") => Some(worker.stop(&order, &mut state.ledger)),
                (_, "/v1/pace") => Some((StatusCode::OK, json!({}))),
                (_, "/v1/hold") => match worker.poll(&order, &mut state.ledger) {
                    Ok(true) => Some(worker.status()),
                    Ok(false) => None,
                    Err(response) => Some(response),
                },
                _ => Some((StatusCode::NOT_FOUND, json!({}))),
            };
            let percent = state.faults.lost_orders;
            (response, state.chance(percent))
        };
        if lost {
            sleep(Duration::from_secs(5)).await;
        }
        match response {
            Some(response) => json_response(response),
            None => {
                let ended = timeout(wait, self.inner.changed.notified());
                // After an end and after the timeout alike, the current status is returned.
                let _ = ended.await;
                let status = {
                    let state = self.lock();
                    let worker = &state.workers[worker_index].0;
                    (!worker.dead).then(|| worker.status())
                };
                match status {
                    Some(status) => json_response(status),
                    None => std::future::pending().await,
                }
            }
        }
    }

    async fn serve_instances(self, request: Request<Incoming>) -> Reply {
        let fence = request.headers().get("fence-token");
        let fence = fence.and_then(|f| f.to_str().ok()?.parse().ok());
        let parsed = ParsedRequest::read(request).await;
        if parsed.path == "/v1/machines" {
            return json_response(self.lock().list());
        }
        let order = parsed.json();
        let (response, index) = self.lock().order(&parsed.path, &order, fence.unwrap_or(0));
        if let Some(index) = index {
            let platform = self.clone();
            tokio::spawn(async move {
                sleep(ORDER_DURATION).await;
                // If no port is free, the instance stays without a worker.
                let _ = platform.start_worker(index).await;
            });
        }
        json_response(response)
    }
}

fn json_response((status, body): JsonResponse) -> Reply {
    reply(status, &body)
}

fn binary_response(body: Vec<u8>) -> Reply {
    Response::new(http_body_util::Full::new(Bytes::from(body)))
}
