//! The system's own processes, started with the command of `deploy/system.toml`.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::call;

/// All processes that were started and not yet killed.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn kill_all() {
    for mut child in CHILDREN.lock().expect("no holder panics").drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A node on four free ports.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: u32,
}

/// Range of the nodes' ports, below the one from which the kernel takes ports of its own accord: a
/// port of that range could be taken by a connection before the node listens on it.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Offset in [`PORTS`] of the next port to try.
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Free ports of the loopback address.
fn free_ports(count: usize) -> Vec<SocketAddr> {
    let first = std::process::id().wrapping_mul(97);
    let tried = std::iter::repeat_with(|| {
        let offset = first.wrapping_add(NEXT_PORT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + (offset % u32::from(PORTS.end - PORTS.start)) as u16;
        SocketAddr::from(([127, 0, 0, 1], port))
    });
    let free = tried.filter(|addr| TcpListener::bind(addr).is_ok());
    free.take(count).collect()
}

impl Node {
    /// Writes the settings of a node, as `deploy/node.json` lays them out and with the figures of
    /// a small deployment.
    pub fn new(name: &str, zone: &str, store: SocketAddr, cloud: SocketAddr, dir: &Path) -> Self {
        let ports = free_ports(4);
        let settings = json!({
            "node": name, "zone": zone, "cores": 0.25, "memory_mb": 260, "link_mbps": 1000.0,
            "listen": {
                "callers": ports[0], "ready": ports[1], "peers": ports[2], "metrics": ports[3],
            },
            "store": store, "parts": 8, "instances": cloud,
            "share": { "window_s": 5, "burst": 0.1, "slack": 20 },
            "times": {
                "revoke_ms": 5000, "lease_ms": 6000, "kept_s": 120, "grace_s": 6, "maintain_s": 2,
                "order_ms": 3000, "stop_ms": 400, "pace_ms": 100,
            },
        });
        let path = dir.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("the folder can be written");
        Self {
            name: name.to_owned(),
            front: ports[0],
            ready: ports[1],
            settings: path,
            log: dir.join(format!("{name}.log")),
            process: 0,
        }
    }

    /// Starts the process, and notes its id for the shell script that ends what is left.
    pub fn start(&mut self) -> std::io::Result<u32> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/cactuswheeld")
            .args(["--node", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.process = child.id();
        let ids = self.settings.with_file_name("processes");
        let mut ids = File::options().create(true).append(true).open(ids)?;
        writeln!(ids, "{}", self.process)?;
        CHILDREN.lock().expect("no holder panics").push(child);
        Ok(self.process)
    }

    /// Kills the process (SIGKILL) and waits for its end.
    pub fn kill(&mut self) {
        let mut children = CHILDREN.lock().expect("no holder panics");
        if let Some(at) = children.iter().position(|c| c.id() == self.process) {
            let mut child = children.swap_remove(at);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The last line of the node's log that contains `text`, as JSON. It chooses the process that
    /// a disruption hits; nothing is judged by it.
    pub fn last_logged(&self, text: &str) -> Option<Value> {
        let log = std::fs::read(&self.log).ok()?;
        let log = String::from_utf8_lossy(&log);
        let line = log.lines().rfind(|l| l.contains(text))?;
        serde_json::from_str(line).ok()
    }

    /// Waits until the node says that it is ready; false after `limit`.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            let host = [("host", "platform")];
            let second = Duration::from_secs(1);
            let answer = call(self.ready, "GET", "/v1/ready", &host, &[], second);
            if answer.is_ok_and(|a| a.status == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}
