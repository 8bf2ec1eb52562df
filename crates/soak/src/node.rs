//! A node that runs as a child process.

use std::io::{BufRead, BufReader};
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

use cactuswheel_e2e::Process;
use serde_json::{Value, json};

/// Maximum number of log lines kept for each node; later lines are discarded.
const MAX_LINES: usize = 20_000;

/// A node that runs as a child process and can be restarted after it has exited.
#[derive(Debug)]
pub struct Node {
    name: String,
    /// The settings file.
    pub settings: PathBuf,
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address for other nodes.
    pub peers: SocketAddr,
    /// Address that serves the metrics.
    pub metrics: SocketAddr,
    child: Option<Child>,
    /// Reads the output of `child` to its end.
    reader: Option<JoinHandle<()>>,
    /// Number of lines before the first line of `child`.
    started_at: usize,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Node {
    /// Writes the settings file of a node without starting it. The node listens on the four ports
    /// from `port` on. Each field in `overrides` replaces that field of the default settings.
    pub fn new(
        name: &str,
        host: IpAddr,
        port: u16,
        store: SocketAddr,
        instances: SocketAddr,
        overrides: &Value,
    ) -> Self {
        let addr = |n: u16| SocketAddr::new(host, port + n);
        let mut settings = json!({
            "node": name, "zone": "local",
            "listen": { "callers": addr(0), "ready": addr(1), "peers": addr(2), "metrics": addr(3) },
            "store": store, "parts": 3, "instances": instances,
            "times": {
                "revoke_ms": 5000, "lease_ms": 6000, "kept_s": 120, "grace_s": 6,
                "maintain_s": 0.4, "order_ms": 1000, "pace_ms": 100,
            },
        });
        for (field, value) in overrides.as_object().into_iter().flatten() {
            settings[field] = value.clone();
        }
        let file = format!("cactuswheel-{}-{name}-{host}.json", std::process::id());
        let path = std::env::temp_dir().join(file);
        std::fs::write(&path, settings.to_string()).expect("the settings can be written");
        Self {
            name: name.to_owned(),
            settings: path,
            callers: addr(0),
            ready: addr(1),
            peers: addr(2),
            metrics: addr(3),
            child: None,
            reader: None,
            started_at: 0,
            lines: Arc::default(),
        }
    }

    /// Starts the node's process unless it is running.
    pub fn start(&mut self) {
        if self.is_running() {
            return;
        }
        let mut child = Command::new(Process::path("cactuswheeld"))
            .args(["--node", "--settings"])
            .arg(&self.settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let out = child.stdout.take().expect("standard output is piped");
        let lines = self.lines.clone();
        self.started_at = lines.lock().unwrap_or_else(PoisonError::into_inner).len();
        let reader = std::thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                let mut log = lines.lock().unwrap_or_else(PoisonError::into_inner);
                if log.len() < MAX_LINES {
                    log.push(line);
                }
            }
        });
        self.child = Some(child);
        self.reader = Some(reader);
    }

    /// Whether the process has been started and has not exited.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Id of the process; `None` before the first start.
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal to the process if it is running. `name` is a signal name for `kill -s`.
    pub fn signal(&mut self, name: &str) {
        if !self.is_running() {
            return;
        }
        let Some(child) = &self.child else {
            return;
        };
        let id = child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status();
        assert!(status.is_ok(), "kill -s {name} {id}");
    }

    /// Whether the process has exited with a non-zero code. A process terminated by a signal has no
    /// exit code and does not count.
    pub fn has_failed(&mut self) -> bool {
        let status = self.child.as_mut().and_then(|c| c.try_wait().ok()?);
        status.is_some_and(|s| s.code().is_some_and(|c| c != 0))
    }

    /// Whether the process has exited with status 0.
    pub fn has_succeeded(&mut self) -> bool {
        let status = self.child.as_mut().and_then(|c| c.try_wait().ok()?);
        status.is_some_and(|s| s.success())
    }

    /// The last line with `message` that the process wrote, once it has exited.
    pub fn last_words(&mut self, message: &str) -> Value {
        if let Some(reader) = self.reader.take() {
            reader.join().expect("the output is read to its end");
        }
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let own = lines[self.started_at..].iter().rev();
        let mut parsed = own.filter_map(|l| serde_json::from_str(l).ok());
        let found = parsed.find(|l: &Value| l["message"] == message);
        found.unwrap_or_default()
    }

    /// The parsed log lines whose message equals `message`, oldest first.
    pub fn log(&self, message: &str) -> Vec<Value> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        // Only lines that may match are parsed: a run with many nodes reads its logs often.
        let likely = lines.iter().filter(|l| l.contains(message));
        let parsed = likely.filter_map(|l| serde_json::from_str(l).ok());
        parsed.filter(|l: &Value| l["message"] == message).collect()
    }

    /// All log lines kept, each prefixed with the node's name.
    pub fn lines(&self) -> Vec<String> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().map(|l| format!("{} {l}", self.name)).collect()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // Errors are ignored: the process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_file(&self.settings);
    }
}
