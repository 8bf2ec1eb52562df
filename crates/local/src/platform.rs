//! The platform as a whole.

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

use crate::instances::Stock;
use crate::ledger::Ledger;
use crate::query::Asked;
use crate::state::{Faults, ROOM, State};
use crate::store::{Store, Told};
use crate::worker::Worker;

/// How often workers get on.
const TICK: Duration = Duration::from_millis(10);

/// How often workers write their entries.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// Time that a move or maintenance takes.
const AWAY: Duration = Duration::from_millis(400);

/// Time after which a worker that its work has taken down is followed by another life.
const BACK: Duration = Duration::from_millis(800);

/// A pool of the platform.
#[derive(Debug, Clone)]
pub struct Pool {
    /// Service that it serves.
    pub service: String,
    /// Its instances.
    pub count: usize,
    /// They are off.
    pub spare: bool,
}

struct Inner {
    state: Mutex<State>,
    changed: Notify,
    host: IpAddr,
    spare: Vec<String>,
}

/// The platform on loopback; copies share it.
#[derive(Clone)]
pub struct Platform {
    inner: Arc<Inner>,
    store: SocketAddr,
    instances: SocketAddr,
}

impl Platform {
    /// Starts the platform on `host`, with a seed for what its faults hit.
    pub async fn start(host: IpAddr, pools: &[Pool], seed: u64) -> std::io::Result<Self> {
        let store = TcpListener::bind((host, 0)).await?;
        let cloud = TcpListener::bind((host, 0)).await?;
        let spare = pools.iter().filter(|p| p.spare);
        let inner = Arc::new(Inner {
            state: Mutex::new(State {
                store: Store::default(),
                workers: Vec::new(),
                stock: Vec::new(),
                ledger: Ledger::default(),
                faults: Faults::default(),
                rng: seed | 1,
                lives: 0,
                told: Vec::new(),
            }),
            changed: Notify::new(),
            host,
            spare: spare.map(|p| p.service.clone()).collect(),
        });
        let platform = Self {
            store: store.local_addr()?,
            instances: cloud.local_addr()?,
            inner,
        };
        for pool in pools {
            for number in 0..pool.count {
                platform.add(pool, number);
            }
        }
        let served = platform.clone();
        tokio::spawn(serve(store, move |r| served.clone().answer_store(r)));
        let served = platform.clone();
        tokio::spawn(serve(cloud, move |r| served.clone().answer_instances(r)));
        let count = platform.lock().stock.len();
        for place in 0..count {
            platform.begin_life(place).await?;
        }
        tokio::spawn(platform.clone().tick());
        Ok(platform)
    }

    /// Where the store is.
    pub fn store(&self) -> SocketAddr {
        self.store
    }

    /// Where instances are listed and ordered.
    pub fn instances(&self) -> SocketAddr {
        self.instances
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Deletes the store's history; the newest record of each key stays.
    pub fn compact(&self) {
        self.lock().store.compact();
    }

    /// The operator writes a record.
    pub fn put(&self, key: &str, value: &Value) {
        let value = value.to_string();
        self.lock().store.put("keyed.op", key, value.as_bytes());
        self.inner.changed.notify_waiters();
    }

    /// The operator drops a record.
    pub fn remove(&self, key: &str) {
        self.lock().store.put("keyed.op", key, &[]);
        self.inner.changed.notify_waiters();
    }

    /// The newest value that the system told the operator under `key`.
    pub fn status(&self, key: &str) -> Option<Value> {
        let newest = self.lock().store.value("keyed.status", key)?;
        serde_json::from_slice(&newest).ok()
    }

    /// One worker crashes; its instance starts another life after `pause`, under the same name if
    /// `reborn`.
    pub fn crash(&self, pick: usize, pause: Duration, reborn: bool) {
        let mut state = self.lock();
        let up: Vec<usize> = (0..state.stock.len())
            .filter(|p| state.stock[*p].worker.is_some())
            .collect();
        let Some(place) = up.get(pick % up.len().max(1)).copied() else {
            return;
        };
        let id = state.end_life(place);
        drop(state);
        let platform = self.clone();
        tokio::spawn(async move {
            sleep(pause).await;
            if reborn {
                let _ = platform.begin_life_as(place, id, 0).await;
            } else {
                let _ = platform.begin_life(place).await;
            }
        });
    }

    /// What tests judge by.
    pub fn ledger<T>(&self, read: impl FnOnce(&Ledger) -> T) -> T {
        read(&self.lock().ledger)
    }

    /// Tells another address for what listens at `own`, in workers' entries.
    pub fn tell(&self, own: SocketAddr, told: SocketAddr) {
        self.lock().told.push((own, told));
    }

    /// Instances in a pool whose worker is up.
    pub fn serving(&self, pool: &str) -> usize {
        let state = self.lock();
        let up = state.stock.iter();
        up.filter(|s| s.pool == pool && s.worker.is_some()).count()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.inner.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, pool: &Pool, number: usize) {
        self.lock().stock.push(Stock {
            name: format!("m-{}-{number}", pool.service),
            pool: pool.service.clone(),
            state: "up",
            worker: None,
            fence: 0,
            maintained: Vec::new(),
        });
    }

    async fn begin_life(&self, place: usize) -> std::io::Result<()> {
        let id = self.fresh_name();
        self.begin_life_as(place, id, 0).await
    }

    fn fresh_name(&self) -> String {
        let mut state = self.lock();
        state.lives += 1;
        format!("i-{}", state.lives)
    }

    /// Ends the lives of workers that their work takes down; each is followed by another at its address.
    fn end_crashed(&self, state: &mut State) {
        for place in 0..state.stock.len() {
            let number = state.stock[place].worker;
            let Some((_, addr)) = number
                .map(|n| &state.workers[n])
                .filter(|(w, _)| w.crashes())
            else {
                continue;
            };
            let port = addr.port();
            state.end_life(place);
            let platform = self.clone();
            tokio::spawn(async move {
                sleep(BACK).await;
                let id = platform.fresh_name();
                // With its port taken the instance stays away.
                let _ = platform.begin_life_as(place, id, port).await;
            });
        }
    }

    async fn begin_life_as(&self, place: usize, id: String, port: u16) -> std::io::Result<()> {
        let spare = {
            let mut state = self.lock();
            state.stock[place].state = "up";
            self.inner.spare.contains(&state.stock[place].pool)
        };
        if spare {
            return Ok(());
        }
        let listener = TcpListener::bind((self.inner.host, port)).await?;
        let addr = listener.local_addr()?;
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = since.unwrap_or_default().as_millis() as u64;
        let number = {
            let mut state = self.lock();
            let service = state.stock[place].pool.clone();
            let number = state.workers.len();
            state.workers.push((Worker::new(id, born, service), addr));
            state.stock[place].worker = Some(number);
            number
        };
        let platform = self.clone();
        let handler = move |r| platform.clone().answer_worker(number, r);
        let server = tokio::spawn(serve(listener, handler));
        let platform = self.clone();
        tokio::spawn(async move {
            while !platform.lock().workers[number].0.dead {
                sleep(TICK).await;
            }
            // Its listener goes with it; open connections are answered no more.
            server.abort();
        });
        Ok(())
    }

    /// Workers get on, and write their entries.
    async fn tick(self) {
        let mut beat = Instant::now();
        let mut number = 0;
        loop {
            sleep(TICK).await;
            let mut state = self.lock();
            let state = &mut *state;
            let mut ended = false;
            for (worker, _) in state.workers.iter_mut().filter(|(w, _)| !w.dead) {
                ended |= worker.step(&mut state.ledger);
            }
            self.end_crashed(state);
            let beats = beat.elapsed() >= HEARTBEAT || number == 0;
            if beats {
                beat = Instant::now();
                number += 1;
                for (worker, addr) in state.workers.iter().filter(|(w, _)| !w.dead) {
                    let told = state.told.iter().find(|(own, _)| own == addr);
                    let told = told.map_or(*addr, |(_, t)| *t).to_string();
                    let entry = worker.entry(&told, ROOM, number).to_string();
                    state
                        .store
                        .put("keyed.servers", &worker.id, entry.as_bytes());
                }
            }
            if ended || beats {
                self.inner.changed.notify_waiters();
            }
        }
    }

    async fn answer_store(self, request: Request<Incoming>) -> Reply {
        let asked = Asked::read(request).await;
        let faults = self.lock().faults;
        let part = asked.number("part");
        if faults.store_down || (part.is_some() && part == faults.part_down) {
            return reply(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
        }
        match asked.path.as_str() {
            "/v1/log-append" => {
                let (told, lost) = {
                    let mut state = self.lock();
                    let told = state.store.append(&asked);
                    let percent = state.faults.lost_writes;
                    (told, state.chance(percent))
                };
                self.inner.changed.notify_waiters();
                if lost {
                    sleep(Duration::from_secs(5)).await;
                }
                answer(told)
            }
            "/v1/log-read" => self.read(asked).await,
            "/v1/log-newest" => answer(self.lock().store.newest(&asked)),
            _ => reply(StatusCode::NOT_FOUND, &json!({})),
        }
    }

    async fn read(&self, asked: Asked) -> Reply {
        let wait = Duration::from_millis(asked.number("wait_ms").unwrap_or_default());
        let found = timeout(wait, async {
            loop {
                let changed = self.inner.changed.notified();
                match self.lock().store.read(&asked) {
                    Ok(None) => {}
                    found => return found,
                }
                changed.await;
            }
        });
        match found.await {
            Ok(Ok(Some(body))) => raw(body),
            Ok(Err(told)) => answer(told),
            _ => raw(self.lock().store.nothing(&asked)),
        }
    }

    async fn answer_worker(self, number: usize, request: Request<Incoming>) -> Reply {
        let expected = request.headers().get("expect-instance").cloned();
        let asked = Asked::read(request).await;
        let order = asked.json();
        if self.lock().workers[number].0.dead {
            std::future::pending::<()>().await;
        }
        let wait = Duration::from_millis(order["wait_ms"].as_u64().unwrap_or_default());
        let (told, lost) = {
            let mut state = self.lock();
            let state = &mut *state;
            let worker = &mut state.workers[number].0;
            let other = expected.is_some_and(|e| e.as_bytes() != worker.id.as_bytes());
            let told = match (other, asked.path.as_str()) {
                (true, _) => Some((StatusCode::MISDIRECTED_REQUEST, json!({}))),
                (_, "/v1/run-start") => Some(worker.start(&order, &mut state.ledger)),
                (_, "/v1/run-stop") => Some(worker.stop(&order, &mut state.ledger)),
                (_, "/v1/pace") => Some((StatusCode::OK, json!({}))),
                (_, "/v1/hold") => match worker.hold(&order, &mut state.ledger) {
                    Ok(true) => Some(worker.lists()),
                    Ok(false) => None,
                    Err(told) => Some(told),
                },
                _ => Some((StatusCode::NOT_FOUND, json!({}))),
            };
            let percent = state.faults.lost_orders;
            (told, state.chance(percent))
        };
        if lost {
            sleep(Duration::from_secs(5)).await;
        }
        match told {
            Some(told) => answer(told),
            None => {
                let ended = timeout(wait, self.inner.changed.notified());
                // Either way the lists are told as they are then.
                let _ = ended.await;
                let lists = {
                    let state = self.lock();
                    let worker = &state.workers[number].0;
                    (!worker.dead).then(|| worker.lists())
                };
                match lists {
                    Some(lists) => answer(lists),
                    None => std::future::pending().await,
                }
            }
        }
    }

    async fn answer_instances(self, request: Request<Incoming>) -> Reply {
        let fence = request.headers().get("fence-token");
        let fence = fence.and_then(|f| f.to_str().ok()?.parse().ok());
        let asked = Asked::read(request).await;
        if asked.path == "/v1/machines" {
            return answer(self.lock().list());
        }
        let order = asked.json();
        let (told, place) = self.lock().order(&asked.path, &order, fence.unwrap_or(0));
        if let Some(place) = place {
            let platform = self.clone();
            tokio::spawn(async move {
                sleep(AWAY).await;
                // With no port left the instance stays away.
                let _ = platform.begin_life(place).await;
            });
        }
        answer(told)
    }
}

fn answer((status, body): Told) -> Reply {
    reply(status, &body)
}

fn raw(body: Vec<u8>) -> Reply {
    Response::new(http_body_util::Full::new(Bytes::from(body)))
}
