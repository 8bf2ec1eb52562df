//! Where relays can get what jobs run.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use cactuswheel_model::{Map, Time};
use cactuswheel_work::JobId;

/// Time for which a node is believed to have what a job runs.
const ORIGIN_TTL: Duration = Duration::from_secs(60);

/// Which node has what a job runs: the front that has accepted it, or a relay that was sent it.
#[derive(Debug, Default)]
pub struct SpecOrigins {
    nodes: Map<JobId, SocketAddr>,
    /// Oldest first.
    order: VecDeque<(Time, JobId)>,
}

impl SpecOrigins {
    /// The node at `addr` has what a job runs, or is about to.
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

    /// A relay did not get it there.
    pub fn remove(&mut self, job: &JobId) {
        self.nodes.remove(job);
    }

    /// Where to get what a job runs; `None` if nobody is known to have it.
    pub fn get(&self, job: &JobId) -> Option<SocketAddr> {
        self.nodes.get(job).copied()
    }
}
