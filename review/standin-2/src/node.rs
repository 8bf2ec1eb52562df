//! A node as a process of its own, with the command of the deploy file.

use std::fs::File;
use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use rand::Rng;
use serde_json::{Value, json};

use crate::worker::HOLD_LIMIT_MS;

pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

/// Ports below those that the system gives to outgoing connections, so that none of them takes a
/// port between its choice and the node's start.
const PORTS: std::ops::Range<u16> = 15_000..32_000;

/// A free port of the loopback interface.
pub fn free_port() -> u16 {
    loop {
        let port = rand::rng().random_range(PORTS);
        if std::net::TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

impl Node {
    /// Writes the settings, as the deploy file's template gives them on a small installation.
    pub fn new(
        name: &str,
        folder: &std::path::Path,
        program: PathBuf,
        store: SocketAddr,
        instances: Option<SocketAddr>,
    ) -> Self {
        let addr = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let (callers, ready) = (addr(free_port()), addr(free_port()));
        let mut settings: Value = json!({
            "node": name, "zone": "z1", "cores": 0.25, "memory_mb": 260, "link_mbps": 1000.0,
            "listen": {
                "callers": callers, "ready": ready,
                "peers": addr(free_port()), "metrics": addr(free_port()),
            },
            "store": store, "parts": 8,
            "share": { "window_s": 5, "burst": 0.1, "slack": 20 },
            "times": {
                "revoke_ms": 5000, "lease_ms": HOLD_LIMIT_MS, "kept_s": 120, "grace_s": 6,
                "maintain_s": 2, "order_ms": 3000, "stop_ms": 200, "pace_ms": 100,
            },
        });
        if let Some(addr) = instances {
            settings["instances"] = json!(addr);
        }
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("the settings can be written");
        Self {
            name: name.into(),
            callers,
            settings: path,
            log: folder.join(format!("{name}.log")),
            program,
            child: None,
        }
    }

    pub fn start(&mut self) {
        let mut log = File::options();
        let log = log
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let child = Command::new(&self.program)
            .args(["--node", "--settings"])
            .arg(&self.settings)
            .stdout(Stdio::from(log.try_clone().expect("a log")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the program starts");
        self.child = Some(child);
    }

    pub fn running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// The status with which the process ended by itself, if it did.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.as_mut()?.try_wait().ok()?
    }

    /// Sends a signal to this process.
    pub fn signal(&mut self, name: &str) {
        if !self.running() {
            return;
        }
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            let _ = Command::new("kill").args(["-s", name, &id]).status();
        }
    }

    pub fn log(&self) -> String {
        let mut text = String::new();
        if let Ok(mut file) = File::open(&self.log) {
            let _ = file.read_to_string(&mut text);
        }
        text
    }

    /// The highest epoch under which this node has taken the cell over.
    pub fn epoch(&self) -> Option<u64> {
        let log = self.log();
        let lines = log.lines().filter(|l| l.contains("cell taken over"));
        let epochs = lines.filter_map(|l| serde_json::from_str::<Value>(l).ok()?["epoch"].as_u64());
        epochs.max()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Index of the node that took the cell over last.
pub fn leader(nodes: &[Node]) -> Option<usize> {
    let epochs = nodes
        .iter()
        .enumerate()
        .filter_map(|(i, n)| Some((n.epoch()?, i)));
    epochs.max().map(|(_, i)| i)
}
