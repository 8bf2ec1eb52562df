//! Settings of a node, as JSON.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use cactuswheel_cell::ShareRule;
use cactuswheel_model::Millis;
use cactuswheel_work::{NodeName, ZoneName};
use serde::de::Error;
use serde::{Deserialize, Deserializer};

use crate::LinkRate;
use crate::policies::Policies;

/// Bytes a second of a link that go with a core: an owner that uses all of a core moves about as
/// many.
const BYTES_PER_CORE: f64 = 5_000_000.0;

/// Most partitions of a topic. Each is followed by a read of its own, and a takeover reads all.
const MAX_PARTS: u32 = 64;

/// Settings of a node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Settings {
    /// This node's name, unique among all nodes.
    pub node: NodeName,
    /// Its data centre.
    pub zone: ZoneName,
    /// Processor that it has, in cores: those with more claim the ownership first.
    #[serde(default = "one_core")]
    pub cores: f64,
    /// Rate of its link, in megabits a second: what it reads and orders at a time follows it.
    #[serde(default, rename = "link_mbps")]
    pub link: LinkRate,
    /// Memory that it may use, in MiB: a cell whose state is too large for it is left to others.
    #[serde(default = "much_memory", rename = "memory_mb")]
    pub memory: u64,
    /// Where it listens.
    pub listen: Listen,
    /// The platform's store.
    pub store: SocketAddr,
    /// Partitions that a topic of the store has; the same on all nodes.
    #[serde(default = "one_part")]
    pub parts: u32,
    /// The platform's service for instances; without it none is moved or maintained.
    #[serde(default)]
    pub instances: Option<SocketAddr>,
    /// The policy service of queues that have one.
    #[serde(default)]
    pub policy: Option<SocketAddr>,
    /// How a team's share is counted when the fleet is full.
    #[serde(default)]
    pub share: Share,
    /// Figures and switches of the node's decisions.
    #[serde(default)]
    pub policies: Policies,
    /// Times that the platform sets.
    pub times: Times,
}

/// How a team's share is counted when the fleet is full: jobs within a window, by its weight.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct Share {
    /// The window.
    #[serde(rename = "window_s", deserialize_with = "from_seconds")]
    pub window: Millis,
    /// Part of the share that may come on top of it, for bursts.
    pub burst: f64,
    /// Jobs that may come on top in each window, whatever the share.
    pub slack: u32,
}

/// What the customers' platform says where it says it.
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

/// Where a node listens.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer, which asks whether the node takes connections.
    pub ready: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
    /// For whoever reads metrics.
    pub metrics: SocketAddr,
}

/// Times that the platform sets: `_ms` in milliseconds, `_s` in seconds, fractions allowed.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Times {
    /// After this a withdrawn key is not accepted any more, whatever happens.
    #[serde(rename = "revoke_ms", deserialize_with = "from_millis")]
    pub revoke: Millis,
    /// Longest lease that a worker grants.
    #[serde(rename = "lease_ms", deserialize_with = "from_millis")]
    pub lease: Millis,
    /// Time for which a final state can be asked for.
    #[serde(rename = "kept_s", deserialize_with = "from_seconds")]
    pub kept: Millis,
    /// Time from the signal to stop until the process is killed.
    #[serde(rename = "grace_s", deserialize_with = "from_seconds")]
    pub grace: Millis,
    /// Time that maintenance of an instance takes.
    #[serde(rename = "maintain_s", deserialize_with = "from_seconds")]
    pub maintaining: Millis,
    /// Time for which orders to an instance have to come from one node.
    #[serde(rename = "order_ms", deserialize_with = "from_millis")]
    pub order: Millis,
    /// Longest time that a worker takes to stop a run.
    #[serde(
        rename = "stop_ms",
        default = "one_second",
        deserialize_with = "from_millis"
    )]
    pub stop: Millis,
    /// Time from a throttle order to its effect.
    #[serde(rename = "pace_ms", deserialize_with = "from_millis")]
    pub pace: Millis,
}

/// Why settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("error 501: {path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// What went wrong.
        source: std::io::Error,
    },
    /// It holds something else.
    #[error("error 501: {path}: at `{place}`: {source}")]
    Parse {
        /// The file.
        path: PathBuf,
        /// The field.
        place: String,
        /// What went wrong.
        source: serde_json::Error,
    },
    /// A value is out of its range.
    #[error("error 501: {path}: `{place}` {fault}")]
    Range {
        /// The file.
        path: PathBuf,
        /// The field.
        place: String,
        /// What is wrong with it.
        fault: &'static str,
    },
}

impl Settings {
    /// Reads and checks a settings file.
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
        match settings.fault() {
            Some((place, fault)) => Err(SettingsError::Range {
                path: path.into(),
                place,
                fault,
            }),
            None => Ok(settings),
        }
    }

    /// How much of a cell's work the node can do, in cores: as much as its processor and its link
    /// both allow.
    pub fn strength(&self) -> f64 {
        let link = self.link.bytes_in(Duration::from_secs(1)) as f64;
        self.cores.min(link / BYTES_PER_CORE)
    }

    /// The first field that is out of its range, and what is wrong with it.
    fn fault(&self) -> Option<(String, &'static str)> {
        let own = self.own_fault();
        let own = own.map(|(place, fault)| (place.to_owned(), fault));
        let pools = self.policies.pools.validate();
        own.or(pools.map(|(place, fault)| (format!("policies.pools.{place}"), fault)))
    }

    fn own_fault(&self) -> Option<(&'static str, &'static str)> {
        let times = &self.times;
        let positive = [
            ("times.revoke_ms", times.revoke),
            ("times.lease_ms", times.lease),
            ("times.kept_s", times.kept),
            ("times.grace_s", times.grace),
        ];
        if let Some((place, _)) = positive.iter().find(|(_, t)| t.get() == 0) {
            return Some((place, "has to be positive"));
        }
        if self.node.as_str().is_empty() {
            return Some(("node", "has to be a name"));
        }
        if !(1..=MAX_PARTS).contains(&self.parts) {
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
        false => Err(D::Error::custom("a time is 0 or more")),
    }
}

fn from_seconds<'de, D: Deserializer<'de>>(input: D) -> Result<Millis, D::Error> {
    let s = f64::deserialize(input)?;
    match s.is_finite() && s >= 0.0 {
        true => Ok(Millis::new((s * 1_000.0).round() as u64)),
        false => Err(D::Error::custom("a time is 0 or more")),
    }
}
