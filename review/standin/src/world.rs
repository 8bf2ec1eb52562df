//! A small deployment on loopback: the platform's stand-ins, the operator, and the nodes.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};

use crate::fleet::{Fleet, Pool};
use crate::http::{Response, call};
use crate::node::Node;
use crate::record::Record;
use crate::store::Store;

/// Zones, and the number of nodes in each.
const ZONES: [(&str, usize); 3] = [("zone-a", 2), ("zone-b", 3), ("zone-c", 1)];
/// Capacity of an executor: 32 cores and 128 GB.
const CAPACITY: (u64, u64) = (32_000, 131_072);
/// How long a client waits for a response (`Deadline-Ms`).
const DEADLINE: Duration = Duration::from_millis(3_000);

/// A queue of the configuration.
#[derive(Clone)]
pub struct Route {
    pub name: &'static str,
    pub service: &'static str,
    pub priority: u32,
    pub max_attempts: u32,
}

impl Route {
    pub fn prefix(&self) -> String {
        format!("/{}/", self.name)
    }
}

/// A running deployment.
pub struct World {
    pub record: Arc<Record>,
    pub store: Store,
    pub fleet: Fleet,
    pub nodes: Vec<Node>,
    version: u64,
}

/// The services of the deployment, the last one with the machines that are off.
pub const POOLS: [Pool; 4] = [
    Pool {
        service: "svc-a",
        count: 9,
        spare: false,
    },
    Pool {
        service: "svc-b",
        count: 9,
        spare: false,
    },
    Pool {
        service: "svc-c",
        count: 9,
        spare: false,
    },
    Pool {
        service: "svc-off",
        count: 6,
        spare: true,
    },
];

/// The tenants; each has one key, which is its name with `key-` before it.
pub const TENANTS: [&str; 2] = ["tenant-1", "tenant-2"];
/// What a tenant may have running: thousandths of a core, and MB.
pub const CAP: (u64, u64) = (600_000, 2_400_000);

fn key(tenant: &str) -> String {
    format!("key-{tenant}")
}

impl World {
    /// Starts the platform and the nodes, whose settings and logs go to `dir`, and waits until all
    /// nodes are ready. `None` if that doesn't come about.
    pub fn start(record: Arc<Record>, dir: &Path, routes: &[Route]) -> Option<Self> {
        let (store, store_addr) = Store::start(record.clone());
        let zones: Vec<&str> = ZONES.iter().map(|(z, _)| *z).collect();
        let (fleet, cloud) = Fleet::start(store.clone(), record.clone(), &POOLS, &zones, CAPACITY);
        let mut world = Self {
            record,
            store,
            fleet,
            nodes: Vec::new(),
            version: 0,
        };
        world.configure(routes);
        for (zone, count) in ZONES {
            for number in 0..count {
                let name = format!("front-{zone}-{number}");
                let mut node = Node::new(&name, zone, store_addr, cloud, dir);
                let process = node.start().ok()?;
                world
                    .record
                    .line(format!("node {name} started, process {process}"));
                world.nodes.push(node);
            }
        }
        let limit = Duration::from_secs(15);
        let ready = world.nodes.iter().all(|n| n.wait_ready(limit));
        ready.then_some(world)
    }

    /// Writes the next version of the configuration; the store's answer is its ack.
    pub fn configure(&mut self, routes: &[Route]) {
        self.version += 3;
        let rows = routes.iter().map(|r| {
            json!({
                "name": r.name, "host": "jobs.example", "path_prefix": r.prefix(),
                "service": r.service, "priority": r.priority, "max_attempts": r.max_attempts,
                "stretch": 1.6, "target_latency_ms": 600, "timeout_ms": 3000,
            })
        });
        let rows: Vec<Value> = rows.collect();
        let services = POOLS
            .iter()
            .map(|p| json!({ "name": p.service, "admission_control": true, "spare": p.spare }));
        let services: Vec<Value> = services.collect();
        let tenants = TENANTS.iter().map(|t| {
            json!({
                "name": t, "api_keys": [key(t)], "weight": 150,
                "cap": { "cpu": CAP.0, "mem_mb": CAP.1 },
            })
        });
        let tenants: Vec<Value> = tenants.collect();
        let config = json!({
            "version": self.version, "routes": rows, "services": services, "tenants": tenants,
            "limits": { "max_body_bytes": 262_144 },
        });
        self.store
            .put("keyed.op", "config", config.to_string().as_bytes());
        let names: Vec<&str> = routes.iter().map(|r| r.name).collect();
        self.record.say(format!(
            "operator: configuration {} acknowledged, routes {names:?}",
            self.version
        ));
    }

    /// Index of the node that took the cell over last, which leads.
    pub fn leader(&self) -> Option<usize> {
        let epochs = self.nodes.iter().enumerate().filter_map(|(index, node)| {
            let taken = node.last_logged("cell taken over")?;
            Some((taken["epoch"].as_u64()?, index))
        });
        epochs.max().map(|(_, index)| index)
    }
}

/// A client of a tenant, which sends each attempt to the next node.
pub struct Client {
    key: String,
    fronts: Vec<std::net::SocketAddr>,
    next: std::sync::atomic::AtomicUsize,
    record: Arc<Record>,
}

impl Client {
    pub fn new(world: &World, tenant: &str) -> Self {
        Self {
            key: key(tenant),
            fronts: world.nodes.iter().map(|n| n.front).collect(),
            next: std::sync::atomic::AtomicUsize::new(0),
            record: world.record.clone(),
        }
    }

    /// Makes one attempt.
    pub fn once(&self, method: &str, path: &str, body: &[u8]) -> Option<Response> {
        let at = self.next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let to = self.fronts[at % self.fronts.len()];
        let headers = [
            ("host", "jobs.example"),
            ("x-api-key", self.key.as_str()),
            ("deadline-ms", "3000"),
        ];
        let answer = call(to, method, path, &headers, body, DEADLINE).ok();
        let shown = answer.as_ref().map(|a| {
            let text = String::from_utf8_lossy(&a.body);
            format!(
                "{} {}",
                a.status,
                text.chars().take(160).collect::<String>()
            )
        });
        let shown = shown.unwrap_or_else(|| "no response".into());
        self.record.line(format!(
            "client: {method} {path} ({} bytes) at {to} -> {shown}",
            body.len()
        ));
        answer
    }

    /// Submits a job, with up to four retries; whether it was accepted.
    pub fn submit(&self, route: &Route, id: &str, job: &Value) -> bool {
        let path = format!("{}{id}", route.prefix());
        let body = job.to_string().into_bytes();
        for _ in 0..5 {
            match self.once("POST", &path, &body) {
                Some(a) if (200..300).contains(&a.status) => return true,
                _ => std::thread::sleep(Duration::from_millis(500)),
            }
        }
        false
    }

    /// Asks for a job's state, with up to four retries: the state, or `gone` for 410.
    pub fn state(&self, route: &Route, id: &str) -> Option<String> {
        let path = format!("{}{id}", route.prefix());
        for _ in 0..5 {
            match self.once("GET", &path, &[]) {
                Some(a) if a.status == 200 => {
                    return a.value()["state"].as_str().map(str::to_owned);
                }
                Some(a) if a.status == 410 => return Some("gone".into()),
                _ => std::thread::sleep(Duration::from_millis(300)),
            }
        }
        None
    }
}

/// An identifier of a job: 16 hexadecimal digits, different for each group and number.
pub fn job_id(group: u64, number: u64) -> String {
    let mixed = (group << 48 | number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("{:016x}", mixed ^ (mixed >> 29))
}

impl Route {
    /// Two queues on different services.
    pub fn two() -> [Self; 2] {
        let route = |name, service| Self {
            name,
            service,
            priority: 0,
            max_attempts: 3,
        };
        [route("alpha", "svc-a"), route("beta", "svc-b")]
    }
}
