//! Nodes from which relays can fetch job specs.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use cactuswheel_model::{Map, Time};
use cactuswheel_work::JobId;

/// How long a node is assumed to have a job's spec cached.
const ORIGIN_TTL: Duration = Duration::from_secs(60);

/// For each recent job, the address of a node that has its spec cached: the node whose front end
/// accepted the job, or a relay that the spec was sent to.
#[derive(Debug, Default)]
pub struct SpecOrigins {
    nodes: Map<JobId, SocketAddr>,
    /// Jobs by the time at which they were first inserted, oldest first.
    order: VecDeque<(Time, JobId)>,
}

impl SpecOrigins {
    /// Records that the node at `addr` has a job's spec or is about to receive it.
    pub fn insert(&mut self, now: Time, job: JobId, addr: SocketAddr) {
        if self.nodes.insert(job, addr).is_none() {
            self.order.push_back((now, job));
        }
        while let Some((at, job)) = self.order.front()
            && now.since(*at) > ORIGIN_TTL
        {
            self.nodes.remove(job);
            self.order.pop_front();
        }
    }

    /// Removes the node of a job's spec, after a relay failed to fetch the spec there.
    pub fn remove(&mut self, job: &JobId) {
        self.nodes.remove(job);
    }

    /// Address of a node that has the job's spec; `None` if no such node is known.
    pub fn get(&self, job: &JobId) -> Option<SocketAddr> {
        self.nodes.get(job).copied()
    }
}
