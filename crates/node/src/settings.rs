//! The settings file of a node, in JSON.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use cactuswheel_cell::{ShareRule, StateLimits};
use cactuswheel_model::Millis;
use cactuswheel_work::{NodeName, ZoneName};
use serde::de::Error;
use serde::{Deserialize, Deserializer};

use crate::LinkRate;
use crate::policies::Policies;

/// Link throughput that corresponds to one core, in bytes per second: an owner that uses a whole
/// core transfers about this much.
const BYTES_PER_CORE: f64 = 5_000_000.0;

/// Maximum number of partitions of a topic. The owner polls each partition separately, and a
/// takeover reads all of them.
const MAX_PARTITIONS: u32 = 64;

/// Settings of a node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Settings {
    /// This node's name, unique among all nodes.
    pub node: NodeName,
    /// The node's data centre.
    pub zone: ZoneName,
    /// CPU available to the node, in cores. Nodes with more claim the ownership first.
    #[serde(default = "one_core")]
    pub cores: f64,
    /// Rate of the node's network link, in Mbit/s. Timeouts and the amount of data in flight depend
    /// on it.
    #[serde(default, rename = "link_mbps")]
    pub link: LinkRate,
    /// Memory that the node may use, in MiB. If the cell's state is too large for it, the node
    /// leaves the cell to other nodes.
    #[serde(default = "much_memory", rename = "memory_mb")]
    pub memory: u64,
    /// Memory of the smallest node that may own the cell, in MiB. Left out, it is the smallest that
    /// this node knows of.
    #[serde(default, rename = "least_memory_mb")]
    pub least_memory: Option<u64>,
    /// Addresses that the node listens on.
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Number of partitions of each topic in the store; must be the same on all nodes.
    #[serde(default = "one_part")]
    pub parts: u32,
    /// Address of the platform's instance service; without it no instance is moved or maintained.
    #[serde(default)]
    pub instances: Option<SocketAddr>,
    /// Address of the policy service, for queues that use one.
    #[serde(default)]
    pub policy: Option<SocketAddr>,
    /// How team shares are enforced when the fleet is full.
    #[serde(default)]
    pub share: Share,
    /// Parameters of the scheduling and capacity policies.
    #[serde(default)]
    pub policies: Policies,
    /// Time limits set by the platform.
    pub times: Times,
}

/// How team shares are enforced when the fleet is full: each team may run jobs in proportion to its
/// weight within a time window.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct Share {
    /// Length of the window.
    #[serde(rename = "window_s", deserialize_with = "from_seconds")]
    pub window: Millis,
    /// Fraction of the share allowed on top of it for bursts.
    pub burst: f64,
    /// Number of jobs allowed on top of the share in each window, regardless of its size.
    pub slack: u32,
}

/// The defaults of the platform.
impl Default for Share {
    fn default() -> Self {
        Self {
            window: Millis::new(5_000),
            burst: 0.1,
            slack: 20,
        }
    }
}

impl Share {
    pub(crate) fn rule(&self) -> ShareRule {
        ShareRule {
            window: self.window.duration(),
            burst: self.burst,
            slack: self.slack,
        }
    }
}

/// Addresses that a node listens on.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Listen {
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address for the load balancer's readiness probes.
    pub ready: SocketAddr,
    /// Address for other nodes.
    pub peers: SocketAddr,
    /// Address for metrics and the operators' views.
    pub metrics: SocketAddr,
}

/// Time limits set by the platform. In the file, `_ms` fields are in milliseconds and `_s` fields
/// in seconds; fractions are allowed.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Times {
    /// Time after which a revoked key must be rejected under all circumstances.
    #[serde(rename = "revoke_ms", deserialize_with = "from_millis")]
    pub revoke: Millis,
    /// Maximum lease that a worker grants.
    #[serde(rename = "lease_ms", deserialize_with = "from_millis")]
    pub lease: Millis,
    /// How long the final state of a job can be queried.
    #[serde(rename = "kept_s", deserialize_with = "from_seconds")]
    pub retention: Millis,
    /// Time from the stop signal until the process is killed.
    #[serde(rename = "grace_s", deserialize_with = "from_seconds")]
    pub grace: Millis,
    /// Duration of an instance's maintenance.
    #[serde(rename = "maintain_s", deserialize_with = "from_seconds")]
    pub maintenance: Millis,
    /// Time within which all orders to an instance must come from the same node.
    #[serde(rename = "order_ms", deserialize_with = "from_millis")]
    pub order: Millis,
    /// Maximum time that a worker takes to stop a run.
    #[serde(
        rename = "stop_ms",
        default = "one_second",
        deserialize_with = "from_millis"
    )]
    pub stop: Millis,
    /// Time until a throttle order takes effect.
    #[serde(rename = "pace_ms", deserialize_with = "from_millis")]
    pub pace: Millis,
}

/// An error in loading the settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("error 501: {path}: {source}")]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not valid JSON or does not match the schema.
    #[error("error 501: {path}: at `{place}`: {source}")]
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// Path of the field in the file.
        place: String,
        /// The parse error.
        source: serde_json::Error,
    },
    /// A value is out of range.
    #[error("error 501: {path}: `{place}` {fault}")]
    Range {
        /// Path of the file.
        path: PathBuf,
        /// Path of the field in the file.
        place: String,
        /// The range it must be in.
        fault: &'static str,
    },
}

impl Settings {
    /// Reads and validates a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read(path).map_err(|e| SettingsError::Read {
            path: path.into(),
            source: e,
        })?;
        let mut json = serde_json::Deserializer::from_slice(&text);
        let parsed: Result<Self, _> = serde_path_to_error::deserialize(&mut json);
        let settings = parsed.map_err(|e| SettingsError::Parse {
            path: path.into(),
            place: e.path().to_string(),
            source: e.into_inner(),
        })?;
        match settings.validate() {
            Some((place, fault)) => Err(SettingsError::Range {
                path: path.into(),
                place,
                fault,
            }),
            None => Ok(settings),
        }
    }

    /// Capacity of the node as an owner, in cores: limited by both its CPU and its network link.
    pub fn strength(&self) -> f64 {
        let link = self.link.bytes_in(Duration::from_secs(1)) as f64;
        self.cores.min(link / BYTES_PER_CORE)
    }

    /// Memory of the smallest node that may own the cell, as far as the settings tell, in MiB.
    pub(crate) fn least_memory(&self) -> u64 {
        self.least_memory.unwrap_or(self.memory)
    }

    /// Limits of the open jobs' state, as far as the settings tell.
    pub(crate) fn state_limits(&self) -> StateLimits {
        StateLimits::of_memory(self.least_memory() << 20)
    }

    /// Returns the first field that is out of range, and the range it must be in.
    fn validate(&self) -> Option<(String, &'static str)> {
        let own = self.validate_own();
        let own = own.map(|(place, fault)| (place.to_owned(), fault));
        let pools = self.policies.pools.validate();
        let pools = pools.map(|(place, fault)| (format!("policies.pools.{place}"), fault));
        let hold = self.policies.hold.validate();
        let hold = hold.map(|(place, fault)| (format!("policies.hold.{place}"), fault));
        let preempt = self.policies.work.preempt.validate();
        let preempt = preempt.map(|(key, fault)| (format!("policies.work.preempt.{key}"), fault));
        own.or(pools).or(hold).or(preempt)
    }

    fn validate_own(&self) -> Option<(&'static str, &'static str)> {
        let times = &self.times;
        let positive = [
            ("times.revoke_ms", times.revoke),
            ("times.lease_ms", times.lease),
            ("times.kept_s", times.retention),
            ("times.grace_s", times.grace),
        ];
        if let Some((place, _)) = positive.iter().find(|(_, t)| t.get() == 0) {
            return Some((place, "has to be positive"));
        }
        if self.node.as_str().is_empty() {
            return Some(("node", "has to be a name"));
        }
        if !(1..=MAX_PARTITIONS).contains(&self.parts) {
            return Some(("parts", "has to be from 1 to 64"));
        }
        if self.share.window.get() == 0 {
            return Some(("share.window_s", "has to be positive"));
        }
        if !(self.share.burst.is_finite() && self.share.burst >= 0.0) {
            return Some(("share.burst", "has to be 0 or more"));
        }
        if self.memory == 0 {
            return Some(("memory_mb", "has to be positive"));
        }
        if self.least_memory == Some(0) {
            return Some(("least_memory_mb", "has to be positive"));
        }
        if self.cores.is_nan() || self.cores <= 0.0 {
            return Some(("cores", "has to be positive"));
        }
        None
    }
}

fn one_part() -> u32 {
    1
}

fn much_memory() -> u64 {
    1_024
}

fn one_second() -> Millis {
    Millis::new(1_000)
}

fn one_core() -> f64 {
    1.0
}

fn from_millis<'de, D: Deserializer<'de>>(input: D) -> Result<Millis, D::Error> {
    let ms = f64::deserialize(input)?;
    match ms.is_finite() && ms >= 0.0 {
        true => Ok(Millis::new(ms.round() as u64)),
        false => Err(D::Error::custom("a duration must be 0 or more")),
    }
}

fn from_seconds<'de, D: Deserializer<'de>>(input: D) -> Result<Millis, D::Error> {
    let s = f64::deserialize(input)?;
    match s.is_finite() && s >= 0.0 {
        true => Ok(Millis::new((s * 1_000.0).round() as u64)),
        false => Err(D::Error::custom("a duration must be 0 or more")),
    }
}
