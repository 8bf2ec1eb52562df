//! A platform, upstreams and entries, each role on its own threads.

use std::error::Error;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cactuswheel_daemon::{Node, Settings};
use cactuswheel_http::Call;
use cactuswheel_model::{Digest, Incarnation};
use cactuswheel_platform::{Presence, RosterEntry};
use cactuswheel_standin::{Platform, Upstream};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};

use crate::shape::Shape;

/// Name of the entries' threads.
pub(crate) const ENTRY: &str = "entry";

/// The team's key.
pub(crate) const KEY: &str = "team-key";

/// Slots of an upstream.
pub(crate) const SLOTS: usize = 8;

/// The operator's key.
const OPERATOR: &str = "operator-key";

/// Threads of each role.
const THREADS: usize = 2;

/// A small fleet that runs until it is dropped.
#[derive(Debug)]
pub(crate) struct Stage {
    /// Where the entries take callers.
    pub(crate) entries: Vec<SocketAddr>,
    /// The upstreams, pool after pool.
    pub(crate) upstreams: Vec<Upstream>,
    /// Where the upstreams listen.
    pub(crate) addrs: Vec<SocketAddr>,
    /// The callers' threads.
    pub(crate) callers: Runtime,
    _entry: Runtime,
    _others: Runtime,
}

impl Stage {
    /// Starts all roles and waits until the entries serve.
    pub(crate) fn start(shape: Shape) -> Result<Self, Box<dyn Error>> {
        let others = runtime("others")?;
        let entry = runtime(ENTRY)?;
        let callers = runtime("callers")?;
        let (platform, upstreams, addrs) = others.block_on(start_others(shape))?;
        let mut nodes = Vec::new();
        for n in 0..shape.entries {
            nodes.push(entry.block_on(Node::start(settings(n, shape, platform)?))?);
        }
        callers.block_on(configure(&nodes, shape))?;
        Ok(Self {
            entries: nodes.iter().map(Node::callers).collect(),
            upstreams,
            addrs,
            callers,
            _entry: entry,
            _others: others,
        })
    }
}

fn runtime(name: &str) -> std::io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(THREADS)
        .thread_name(name)
        .enable_all()
        .build()
}

type Others = (SocketAddr, Vec<Upstream>, Vec<SocketAddr>);

async fn start_others(shape: Shape) -> Result<Others, Box<dyn Error>> {
    let platform = Platform::default();
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let at = listener.local_addr()?;
    tokio::spawn(platform.clone().serve(listener));
    let (mut upstreams, mut addrs) = (Vec::new(), Vec::new());
    for n in 0..shape.all() {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let id = format!("w{n}");
        let upstream = Upstream::new(&id).with_slots(SLOTS).without_record();
        tokio::spawn(upstream.clone().serve(listener));
        platform.upsert_instance(RosterEntry {
            id: id.parse()?,
            incarnation: Incarnation::new(1),
            addr,
            presence: Presence::Live,
        });
        upstreams.push(upstream);
        addrs.push(addr);
    }
    Ok((at, upstreams, addrs))
}

/// A host for one entry of this process.
fn host(entry: usize) -> Ipv4Addr {
    let id = std::process::id();
    Ipv4Addr::new(127, 1 + (id % 250) as u8, (id / 250) as u8, 1 + entry as u8)
}

fn settings(n: usize, shape: Shape, platform: SocketAddr) -> Result<Settings, serde_json::Error> {
    let at = |n: usize, port: u16| SocketAddr::from((host(n), port));
    let others = (0..shape.entries).filter(|other| *other != n);
    let peers: Vec<_> = others.map(|other| at(other, 8082)).collect();
    let text = json!({
        "entry": format!("e{n}"), "dc": format!("dc{}", n % shape.dcs), "platform": platform,
        "listen": {"callers": at(n, 8080), "admin": at(n, 8081), "peer": at(n, 8082)},
        "peers": peers,
        "operators": [{"name": "ana", "digest": Digest::of(OPERATOR.as_bytes())}],
    });
    serde_json::from_value(text)
}

async fn configure(nodes: &[Node], shape: Shape) -> Result<(), Box<dyn Error>> {
    let call = Call::post(nodes[0].admin(), "/v1/tickets").with_key(OPERATOR);
    let answer = call.with_json(&ticket(shape))?.send().await?;
    if !answer.status.is_success() {
        return Err(String::from_utf8_lossy(&answer.body).into());
    }
    for node in nodes {
        while upstreams(node).await? != shape.all() as u64 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

async fn upstreams(node: &Node) -> Result<u64, Box<dyn Error>> {
    let call = Call::get(node.admin(), "/v1/status").with_key(OPERATOR);
    let status: Value = call.send().await?.json()?;
    Ok(status["upstreams"].as_u64().unwrap_or(0))
}

fn ticket(shape: Shape) -> Value {
    let mut changes = vec![
        json!({"team": {"id": "ads", "share": 1, "limit": 100_000}}),
        json!({"key": {"digest": Digest::of(KEY.as_bytes()), "team": "ads"}}),
    ];
    let dcs = 0..shape.dcs;
    changes.extend(dcs.map(|n| json!({"dc": {"id": format!("dc{n}"), "region": "lj"}})));
    for n in 0..shape.services {
        let (pool, service) = (format!("pool{n}"), format!("s{n}"));
        changes.push(json!({"pool": {"id": pool}}));
        changes.push(json!({"service": {"id": service, "pool": pool, "max_down": 0}}));
    }
    changes.extend((0..shape.all()).map(|n| {
        json!({"instance": {"id": format!("w{n}"), "pool": format!("pool{}", n / shape.upstreams),
            "dc": format!("dc{}", n % shape.dcs), "rack": format!("r{n}"),
            "cores": 64, "memory": 131_072, "slots": SLOTS, "conns": 64}})
    }));
    json!({"ticket": 1, "changes": changes})
}
