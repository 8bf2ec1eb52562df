//! The test environment: a local platform and nodes that run as processes.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use cactuswheel_e2e::Hosts;
use cactuswheel_http::Call;
use cactuswheel_local::{Platform, Pool};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::{Caller, Node, Proxy};

/// First port of the first node; each node uses four consecutive ports.
const FIRST_PORT: u16 = 8_100;

/// Timeout for all nodes to become ready, and again for a node to own the cell.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A local platform and several nodes, each of which reaches the store through a proxy of its own.
pub struct World {
    /// The local platform: store, instances and workers.
    pub platform: Platform,
    /// The nodes; node `i` is named `n{i}`.
    pub nodes: Vec<Node>,
    /// The proxies between the nodes and the store, in the order of `nodes`.
    pub proxies: Vec<Proxy>,
    host: IpAddr,
    /// Version of the configuration published last.
    version: u64,
}

impl World {
    /// Starts a platform with two pools and a spare pool, and `count` nodes. Waits until all nodes
    /// are ready and one of them owns the cell.
    pub async fn start(count: usize, seed: u64) -> Self {
        Self::with_settings(count, seed, |_| json!({})).await
    }

    /// Like [`World::start`], with each field in `overrides(i)` replacing that field of node `i`'s
    /// default settings.
    pub async fn with_settings(
        count: usize,
        seed: u64,
        overrides: impl Fn(usize) -> Value,
    ) -> Self {
        let host = Hosts::default().host();
        let pool = |service: &str, count, spare| Pool {
            service: service.to_owned(),
            count,
            spare,
        };
        let pools = [
            pool("main", 3, false),
            pool("other", 2, false),
            pool("off", 2, true),
        ];
        let platform = Platform::start(host, &pools, seed).await;
        let platform = platform.expect("loopback has free ports");
        let mut world = Self {
            platform,
            nodes: Vec::new(),
            proxies: Vec::new(),
            host,
            version: 0,
        };
        world.publish_config();
        for number in 0..count {
            let proxy = Proxy::start(host, world.platform.store_addr()).await;
            let proxy = proxy.expect("loopback has free ports");
            let port = FIRST_PORT + 4 * number as u16;
            let name = format!("n{number}");
            let control_addr = world.platform.instances_addr();
            let mut node = Node::new(
                &name,
                host,
                port,
                proxy.addr(),
                control_addr,
                &overrides(number),
            );
            node.start();
            world.nodes.push(node);
            world.proxies.push(proxy);
        }
        world.wait_ready().await;
        world.wait_owner().await;
        world
    }

    /// Publishes the next version of the configuration. Its content stays the same; version numbers
    /// have gaps.
    pub fn publish_config(&mut self) {
        self.version += 1 + self.version % 3;
        let queue = |name: &str, prefix: &str, service: &str| {
            json!({
                "name": name, "host": self.host.to_string(), "path_prefix": prefix,
                "service": service, "public": true, "max_attempts": 3, "stretch": 1.6,
                "target_latency_ms": 600, "timeout_ms": 3000,
            })
        };
        let service = |name: &str, spare: bool| json!({ "name": name, "admission_control": false, "spare": spare });
        let config = json!({
            "version": self.version,
            "routes": [queue("a", "/a/", "main"), queue("b", "/b/", "other")],
            "services": [service("main", false), service("other", false), service("off", true)],
            "tenants": [],
        });
        self.platform.put("config", &config);
    }

    /// Starts a maintenance wave of all instances. `cap` is the wave's maximum number of instances
    /// in maintenance at a time.
    pub fn start_wave(&self, cap: u32) {
        let names = [("main", 3), ("other", 2), ("off", 2)]
            .into_iter()
            .flat_map(|(pool, n)| (0..n).map(move |i| format!("m-{pool}-{i}")));
        let names: Vec<String> = names.collect();
        let wave = json!({ "wave": 1, "machines": names, "within_s": 20, "cap": cap });
        self.platform.put("wave/1", &wave);
    }

    /// A caller that calls one node only.
    pub fn caller_of(&self, node: usize) -> Caller {
        Caller::new(vec![self.nodes[node].callers], 0)
    }

    /// A caller that calls all nodes in turn, starting with the one after index `start`.
    pub fn caller(&self, start: usize) -> Caller {
        Caller::new(self.nodes.iter().map(|n| n.callers).collect(), start)
    }

    /// Waits until the readiness check of every node succeeds.
    pub async fn wait_ready(&mut self) {
        let start = Instant::now();
        for node in &self.nodes {
            loop {
                let answer = Call::get(node.ready, "/v1/ready").send().await;
                if answer.is_ok_and(|a| a.status.is_success()) {
                    break;
                }
                assert!(start.elapsed() < START_TIMEOUT, "{:#?}", node.lines());
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Waits until a node owns the cell. Readiness does not imply this: a node is ready once it has
    /// the configuration, possibly before any node has taken over the cell.
    async fn wait_owner(&self) {
        let start = Instant::now();
        while self.owner().is_none() {
            assert!(
                start.elapsed() < START_TIMEOUT,
                "no node has taken the cell over"
            );
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Index of the node that has taken over the cell with the highest epoch, according to the
    /// nodes' logs; `None` if no node has. The node may have exited or lost the ownership since.
    pub fn owner(&self) -> Option<usize> {
        let epochs = self.nodes.iter().enumerate().filter_map(|(i, n)| {
            let last = n.log("cell taken over").pop()?;
            Some((last["epoch"].as_u64()?, i))
        });
        epochs.max().map(|(_, i)| i)
    }

    /// The parsed log lines of all nodes whose message equals `message`, node by node.
    pub fn log(&self, message: &str) -> Vec<Value> {
        self.nodes.iter().flat_map(|n| n.log(message)).collect()
    }
}
