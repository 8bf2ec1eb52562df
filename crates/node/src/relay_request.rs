//! Messages between the owner and its relays: orders, and reports of their outcomes.

use std::net::SocketAddr;
use std::sync::Arc;

use cactuswheel_model::{Map, Time};
use cactuswheel_relay::{PollDelta, SpecCache, SpecDigest};
use cactuswheel_work::{
    JobId, NodeName, OrderOutcome, PaceOrder, PollError, PollOrder, StartOrder, StartOutcome,
    StopOrder, TaskId, WorkerId, WorkerStatus,
};
use serde::{Deserialize, Serialize};

/// An order to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Order {
    /// Renew the worker's lease and poll its status, in place of any earlier poll in flight. The
    /// number identifies the poll.
    #[serde(rename = "Look")]
    Poll(u64, PollOrder),
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Throttle a run.
    Pace(PaceOrder),
}

/// An order, addressed to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Envelope {
    pub(crate) worker: WorkerId,
    pub(crate) addr: SocketAddr,
    pub(crate) order: Order,
}

/// The outcome of an order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Report {
    /// The outcome of the poll with this number.
    #[serde(rename = "Looked")]
    Polled(WorkerId, u64, Result<WorkerStatus, PollError>),
    /// The outcome of a poll as sent by a relay, as a delta to an earlier one.
    #[serde(rename = "Seen")]
    Delta(WorkerId, u64, PollDelta),
    /// The outcome of a start order.
    Started(WorkerId, TaskId, u32, StartOutcome),
    /// The outcome of a throttle order.
    Paced(WorkerId, PaceOrder, OrderOutcome),
}

/// A message with orders for one relay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct RelayRequest {
    /// Epoch of the owner that gives the orders.
    pub(crate) epoch: u64,
    /// Address to which the owner expects reports.
    pub(crate) owner: SocketAddr,
    /// When the ownership was last confirmed, on the relay's clock.
    pub(crate) confirmed: Time,
    /// How long after `confirmed` the relay may send start orders, in milliseconds.
    pub(crate) expiry: u64,
    /// The spec of each job with start orders; the orders themselves omit it.
    pub(crate) specs: Vec<(JobId, SpecSource)>,
    pub(crate) envelopes: Vec<Envelope>,
}

/// How a relay obtains a job's spec.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum SpecSource {
    /// The spec itself.
    Text(Arc<str>),
    /// The spec has this digest and can be fetched from the node at this address, unless the relay
    /// has cached it already.
    Cached(SpecDigest, SocketAddr),
}

/// A message with the outcomes of orders sent by a relay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Reports {
    pub(crate) epoch: u64,
    pub(crate) node: NodeName,
    pub(crate) reports: Vec<Report>,
}

impl RelayRequest {
    /// Moves the specs out of the start orders, so that each job's spec is sent only once however
    /// many of its tasks start. A spec is replaced by its digest if `origin` gives the address of a
    /// node that has it.
    pub(crate) fn extract_specs(&mut self, mut origin: impl FnMut(JobId) -> Option<SocketAddr>) {
        let mut specs: Map<JobId, Arc<str>> = Map::default();
        for envelope in &mut self.envelopes {
            if let Order::Start(start) = &mut envelope.order {
                let spec = std::mem::replace(&mut start.spec, "".into());
                specs.insert(start.task.job(), spec);
            }
        }
        let specs = specs.into_iter().map(|(job, spec)| {
            let source = match origin(job) {
                Some(addr) => SpecSource::Cached(SpecDigest::of(&spec), addr),
                None => SpecSource::Text(spec),
            };
            (job, source)
        });
        self.specs = specs.collect();
    }

    /// Puts the specs back into the start orders, as far as they are in the request or in the cache
    /// `specs`. Removes and returns the orders whose spec has to be fetched first.
    pub(crate) fn restore_specs(&mut self, specs: &mut SpecCache) -> Vec<IncompleteOrder> {
        let sources: Map<JobId, SpecSource> = self.specs.drain(..).collect();
        for source in sources.values() {
            if let SpecSource::Text(spec) = source {
                specs.insert(spec);
            }
        }
        let mut incomplete = Vec::new();
        let mut complete = Vec::with_capacity(self.envelopes.len());
        for mut envelope in self.envelopes.drain(..) {
            let Order::Start(start) = &mut envelope.order else {
                complete.push(envelope);
                continue;
            };
            match sources.get(&start.task.job()) {
                Some(SpecSource::Text(spec)) => start.spec = spec.clone(),
                Some(SpecSource::Cached(digest, origin)) => match specs.get(digest) {
                    Some(spec) => start.spec = spec,
                    None => {
                        incomplete.push(IncompleteOrder {
                            envelope,
                            digest: *digest,
                            origin: *origin,
                        });
                        continue;
                    }
                },
                None => {}
            }
            complete.push(envelope);
        }
        self.envelopes = complete;
        incomplete
    }
}

/// A start order whose spec has to be fetched.
#[derive(Debug)]
pub(crate) struct IncompleteOrder {
    pub(crate) envelope: Envelope,
    pub(crate) digest: SpecDigest,
    /// Address of a node that has the spec.
    pub(crate) origin: SocketAddr,
}

impl Envelope {
    /// Approximate size in a request, in bytes.
    pub(crate) fn size(&self) -> usize {
        /// Size of an order's names, addresses and numbers.
        const ORDER_SIZE: usize = 80;
        match &self.order {
            Order::Start(start) => ORDER_SIZE + start.spec.len() + start.checkpoint.len(),
            Order::Poll(..) | Order::Stop(_) | Order::Pace(_) => ORDER_SIZE,
        }
    }
}

impl Report {
    /// Approximate size in a message, in bytes.
    pub(crate) fn size(&self) -> usize {
        /// Size of the names and numbers of a report, and of each row of a poll.
        const ROW_SIZE: usize = 60;
        match self {
            Self::Polled(_, _, Ok(poll)) => ROW_SIZE * (1 + poll.running.len() + poll.ended.len()),
            Self::Delta(_, _, delta) => ROW_SIZE * (1 + delta.rows.len() + delta.ended.len()),
            Self::Polled(..) | Self::Started(..) | Self::Paced(..) => ROW_SIZE,
        }
    }
}
