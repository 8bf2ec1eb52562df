//! A small fleet of processes.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use cactuswheel_http::Call;
use cactuswheel_model::Digest;
use cactuswheel_standin::Run;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::{Hosts, Process};

/// Key of the operator `ana`.
pub const OPERATOR_KEY: &str = "operator-key";

/// Key of the team `ads`.
pub const TEAM_KEY: &str = "team-key";

/// Time within which a fleet has to come up.
const LIMIT: Duration = Duration::from_secs(20);

/// A platform, upstreams and entries, each a process.
#[derive(Debug)]
pub struct Fleet {
    /// Addresses for more processes.
    pub hosts: Hosts,
    /// The platform's process.
    pub platform: Process,
    /// Upstreams' processes, `w1` first.
    pub upstreams: Vec<Process>,
    /// Entries' processes, `e1` first.
    pub entries: Vec<Process>,
    /// Where the platform listens.
    pub platform_addr: SocketAddr,
    /// Where the upstreams listen.
    pub upstream_addrs: Vec<SocketAddr>,
    /// Where entries take callers.
    pub callers: Vec<SocketAddr>,
    /// Where entries take operators.
    pub admins: Vec<SocketAddr>,
    /// Where entries take their peers; a later entry beats to the earlier ones.
    pub peers: Vec<SocketAddr>,
    /// `limits` in the settings of entries started from now on.
    pub limits: Value,
    /// Scratch folder for settings and tickets, removed at the end.
    dir: PathBuf,
}

impl Fleet {
    /// Starts a platform, `upstreams` and `entries`, in data centre `lj1`.
    pub fn start(upstreams: usize, entries: usize) -> Self {
        let mut hosts = Hosts::default();
        let platform_addr = hosts.addr(9000);
        let at = platform_addr.to_string();
        let platform = Process::start("cactuswheel-standin", &["platform", "--listen", &at]);
        let dir = std::env::temp_dir().join(format!("cactuswheel-{}", platform.id()));
        fs::create_dir_all(&dir).expect("the scratch folder can be made");
        let mut fleet = Self {
            hosts,
            platform,
            upstreams: Vec::new(),
            entries: Vec::new(),
            platform_addr,
            upstream_addrs: Vec::new(),
            callers: Vec::new(),
            admins: Vec::new(),
            peers: Vec::new(),
            limits: json!({}),
            dir,
        };
        (0..upstreams).for_each(|_| fleet.add_upstream());
        (0..entries).for_each(|_| fleet.add_entry());
        fleet
    }

    /// Starts one more upstream.
    pub fn add_upstream(&mut self) {
        self.add_upstream_with(&[]);
    }

    /// Starts one more upstream with more arguments.
    pub fn add_upstream_with(&mut self, more: &[&str]) {
        let addr = self.hosts.addr(9000);
        let id = format!("w{}", self.upstreams.len() + 1);
        self.upstreams.push(self.start_upstream(&id, addr, more));
        self.upstream_addrs.push(addr);
    }

    /// Starts an upstream process without keeping it.
    pub fn start_upstream(&self, id: &str, addr: SocketAddr, more: &[&str]) -> Process {
        let (addr, platform) = (addr.to_string(), self.platform_addr.to_string());
        let args = [
            "upstream",
            "--listen",
            &addr,
            "--id",
            id,
            "--platform",
            &platform,
        ];
        Process::start("cactuswheel-standin", &[&args, more].concat())
    }

    /// Lists an instance in the roster as `presence`.
    pub async fn list(&self, id: &str, incarnation: u64, addr: SocketAddr, presence: &str) {
        let sighting = json!({"id": id, "incarnation": incarnation, "addr": addr,
            "presence": presence});
        let call = Call::post(self.platform_addr, "/roster").with_json(&sighting);
        let answer = call.expect("a sighting is JSON").send().await;
        assert!(answer.is_ok_and(|a| a.status == 200), "{sighting}");
    }

    /// What an upstream says that it ran.
    pub async fn runs(&self, upstream: usize) -> Vec<Run> {
        let call = Call::get(self.upstream_addrs[upstream], "/runs");
        let answer = call.send().await.expect("the upstream answers");
        answer.json().expect("runs are JSON")
    }

    /// Puts the first ticket in and waits until every entry has all upstreams.
    ///
    /// # Panics
    ///
    /// If the ticket is refused.
    pub async fn open(&self, limit: u32) {
        // Units are split evenly then, and none has to move before requests may run.
        for admin in &self.admins {
            self.wait_status(*admin, |s| s["open"] == true).await;
        }
        let (status, text) = self.apply(0, &self.first_ticket(limit));
        assert_eq!(status, Some(0), "{text}");
        self.settle(self.upstreams.len()).await;
    }

    /// How often the request `id` ran, at all upstreams together.
    pub async fn runs_of(&self, id: &str) -> usize {
        let mut runs = 0;
        for upstream in 0..self.upstreams.len() {
            let all = self.runs(upstream).await;
            runs += all.iter().filter(|run| run.request == id).count();
        }
        runs
    }

    /// Starts one more entry.
    pub fn add_entry(&mut self) {
        let host = self.hosts.host();
        let [callers, admin, peer] = [8080, 8081, 8082].map(|port| SocketAddr::new(host, port));
        let name = format!("e{}", self.entries.len() + 1);
        let settings = json!({
            "entry": name, "dc": "lj1",
            "listen": {"callers": callers, "admin": admin, "peer": peer},
            "platform": self.platform_addr,
            "peers": self.peers,
            "operators": [{"name": "ana", "digest": Digest::of(OPERATOR_KEY.as_bytes())}],
            "log": {"level": "ERROR"},
            "limits": self.limits,
            "maintenance": {"settle_ms": 300, "quiet_ms": 300, "stagger_ms": 1000,
                "overdue_ms": 6000, "fresh_ms": 5000},
        });
        let file = self.file(&format!("{name}.json"), &settings);
        let file = file.to_str().expect("the scratch folder's name is text");
        self.entries
            .push(Process::start("cactuswheeld", &["--settings", file]));
        self.callers.push(callers);
        self.admins.push(admin);
        self.peers.push(peer);
    }

    /// Starts an entry that was killed anew, with the same settings and nothing in memory.
    pub fn restart_entry(&mut self, entry: usize) {
        self.entries[entry].wait();
        let file = self.dir.join(format!("e{}.json", entry + 1));
        let file = file.to_str().expect("the scratch folder's name is text");
        self.entries[entry] = Process::start("cactuswheeld", &["--settings", file]);
    }

    /// Writes a JSON file into the scratch folder.
    pub fn file(&self, name: &str, value: &Value) -> PathBuf {
        let path = self.dir.join(name);
        fs::write(&path, value.to_string()).expect("the scratch folder takes files");
        path
    }

    /// Reads a JSON file of the scratch folder.
    pub fn read(&self, name: &str) -> Value {
        let text = fs::read(self.dir.join(name)).expect("the file was written before");
        serde_json::from_slice(&text).expect("the scratch folder holds JSON")
    }

    /// A ticket with a pool `render` and a spare pool, a service `echo`, a team `ads` that may
    /// run `limit` at once, and all upstreams in `render`.
    pub fn first_ticket(&self, limit: u32) -> Value {
        let mut changes = vec![
            json!({"dc": {"id": "lj1", "region": "lj"}}),
            json!({"pool": {"id": "render"}}),
            json!({"pool": {"id": "spare", "spare": true}}),
            json!({"service": {"id": "echo", "pool": "render", "max_down": 0}}),
            json!({"team": {"id": "ads", "share": 1, "limit": limit}}),
            json!({"key": {"digest": Digest::of(TEAM_KEY.as_bytes()), "team": "ads"}}),
        ];
        changes.extend((1..=self.upstreams.len()).map(|n| Self::instance(n, "render")));
        json!({"ticket": 1, "changes": changes})
    }

    /// Describes upstream `w{n}` in a pool.
    pub fn instance(n: usize, pool: &str) -> Value {
        json!({"instance": {"id": format!("w{n}"), "pool": pool, "dc": "lj1",
            "rack": format!("r{}", n.div_ceil(4)), "cores": 64, "memory": 131072,
            "slots": 8, "conns": 64}})
    }

    /// Puts a ticket in at an entry with the CLI; its exit status and output.
    pub fn apply(&self, entry: usize, ticket: &Value) -> (Option<i32>, String) {
        let file = self.file(&format!("ticket-{}.json", ticket["ticket"]), ticket);
        let file = file.to_str().expect("the scratch folder's name is text");
        let at = self.admins[entry].to_string();
        let args = [
            "--entry",
            &at,
            "--key",
            OPERATOR_KEY,
            "ticket",
            "apply",
            file,
        ];
        let output = Process::output("cactuswheel", &args);
        let text = [output.stdout, output.stderr].concat();
        (
            output.status.code(),
            String::from_utf8_lossy(&text).into_owned(),
        )
    }

    /// Runs the CLI as operator `ana` at an entry; its exit status, output and errors.
    pub fn cli(&self, entry: usize, args: &[&str]) -> (Option<i32>, String, String) {
        let at = self.admins[entry].to_string();
        let all = [&["--entry", &at, "--key", OPERATOR_KEY], args].concat();
        let output = Process::output("cactuswheel", &all);
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let code = output.status.code();
        (code, text(&output.stdout), text(&output.stderr))
    }

    /// Waits until every entry has `upstreams` upstreams.
    pub async fn settle(&self, upstreams: usize) {
        for admin in &self.admins {
            self.wait_status(*admin, |s| {
                s["ready"] == true && s["upstreams"] == upstreams
            })
            .await;
        }
    }

    /// Waits until an entry's status is as wanted.
    pub async fn wait_status(&self, admin: SocketAddr, wanted: impl Fn(&Value) -> bool) {
        let until = Instant::now() + LIMIT;
        loop {
            let answer = Call::get(admin, "/v1/status")
                .with_key(OPERATOR_KEY)
                .send()
                .await;
            let status = answer
                .ok()
                .and_then(|a| a.json().ok())
                .unwrap_or(Value::Null);
            if wanted(&status) {
                return;
            }
            assert!(Instant::now() < until, "{admin} stays at {status}");
            sleep(Duration::from_millis(50)).await;
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Left behind, it is only clutter in the temporary folder.
        let _ = fs::remove_dir_all(&self.dir);
    }
}
