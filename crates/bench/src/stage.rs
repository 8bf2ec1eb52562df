//! A platform, upstreams and one entry, each role on its own threads.

use std::error::Error;
use std::net::SocketAddr;

use cactuswheel_daemon::{Node, Settings};
use cactuswheel_http::Call;
use cactuswheel_model::{Digest, Incarnation};
use cactuswheel_platform::{Presence, Sighting};
use cactuswheel_standin::{Platform, Upstream};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};

/// Name of the entry's threads.
pub(crate) const ENTRY: &str = "entry";

/// The team's key.
pub(crate) const KEY: &str = "team-key";

/// Upstreams, of eight slots each.
const UPSTREAMS: usize = 8;

/// The operator's key.
const OPERATOR: &str = "operator-key";

/// Threads of each role.
const THREADS: usize = 2;

/// A small fleet that runs until it is dropped.
#[derive(Debug)]
pub(crate) struct Stage {
    /// Where the entry takes callers.
    pub(crate) entry: SocketAddr,
    /// Where the upstreams listen.
    pub(crate) upstreams: Vec<SocketAddr>,
    /// The callers' threads.
    pub(crate) callers: Runtime,
    _entry: Runtime,
    _others: Runtime,
}

impl Stage {
    /// Starts all roles and waits until the entry serves.
    pub(crate) fn start() -> Result<Self, Box<dyn Error>> {
        let others = runtime("others")?;
        let entry = runtime(ENTRY)?;
        let callers = runtime("callers")?;
        let (platform, upstreams) = others.block_on(start_others())?;
        let node = entry.block_on(Node::start(settings(platform)?))?;
        callers.block_on(configure(node.admin()))?;
        Ok(Self {
            entry: node.callers(),
            upstreams,
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

async fn start_others() -> Result<(SocketAddr, Vec<SocketAddr>), Box<dyn Error>> {
    let platform = Platform::default();
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let at = listener.local_addr()?;
    tokio::spawn(platform.clone().serve(listener));
    let mut upstreams = Vec::new();
    for n in 0..UPSTREAMS {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let id = format!("w{n}");
        tokio::spawn(Upstream::new(&id).without_record().serve(listener));
        platform.list(Sighting {
            id: id.parse()?,
            incarnation: Incarnation::new(1),
            addr,
            presence: Presence::Live,
        });
        upstreams.push(addr);
    }
    Ok((at, upstreams))
}

fn settings(platform: SocketAddr) -> Result<Settings, serde_json::Error> {
    let any = "127.0.0.1:0";
    let text = json!({
        "entry": "e1", "dc": "lj1", "platform": platform,
        "listen": {"callers": any, "admin": any, "peer": any},
        "operators": [{"name": "ana", "digest": Digest::of(OPERATOR.as_bytes())}],
    });
    serde_json::from_value(text)
}

async fn configure(admin: SocketAddr) -> Result<(), Box<dyn Error>> {
    let call = Call::post(admin, "/v1/tickets").with_key(OPERATOR);
    let answer = call.with_json(&ticket())?.send().await?;
    if !answer.status.is_success() {
        return Err(String::from_utf8_lossy(&answer.body).into());
    }
    loop {
        let call = Call::get(admin, "/v1/status").with_key(OPERATOR);
        let status: Value = call.send().await?.json()?;
        if status["upstreams"] == UPSTREAMS {
            return Ok(());
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
}

fn ticket() -> Value {
    let mut changes = vec![
        json!({"dc": {"id": "lj1", "region": "lj"}}),
        json!({"pool": {"id": "render"}}),
        json!({"service": {"id": "echo", "pool": "render", "max_down": 0}}),
        json!({"team": {"id": "ads", "share": 1, "limit": 10_000}}),
        json!({"key": {"digest": Digest::of(KEY.as_bytes()), "team": "ads"}}),
    ];
    changes.extend((0..UPSTREAMS).map(|n| {
        json!({"instance": {"id": format!("w{n}"), "pool": "render", "dc": "lj1", "rack": "r1",
            "cores": 64, "memory": 131_072, "slots": 8, "conns": 64}})
    }));
    json!({"ticket": 1, "changes": changes})
}
