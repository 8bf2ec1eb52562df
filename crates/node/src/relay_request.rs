//! Orders that go through a relay, and what it reports of them.

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
    /// Renew its lease and look at it, in place of any earlier look that is under way.
    Look(u64, PollOrder),
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Throttle a run.
    Pace(PaceOrder),
}

/// An order and the worker that it is for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Envelope {
    pub(crate) worker: WorkerId,
    pub(crate) addr: SocketAddr,
    pub(crate) order: Order,
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Report {
    /// A look's outcome, by its number.
    Looked(WorkerId, u64, Result<WorkerStatus, PollError>),
    /// The same as a relay tells it, without what was told before.
    Seen(WorkerId, u64, PollDelta),
    /// A start order's outcome.
    Started(WorkerId, TaskId, u32, StartOutcome),
    /// A throttle order's outcome.
    Paced(WorkerId, PaceOrder, OrderOutcome),
}

/// Orders for one relay, sent together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct RelayRequest {
    /// Number of the ownership under which they are given.
    pub(crate) epoch: u64,
    /// Where the owner takes reports.
    pub(crate) owner: SocketAddr,
    /// When the ownership was confirmed, on the relay's clock.
    pub(crate) confirmed: Time,
    /// Time after that from which no start is ordered, in milliseconds.
    pub(crate) expiry: u64,
    /// What each job runs; the orders themselves leave it out.
    pub(crate) specs: Vec<(JobId, SpecSource)>,
    pub(crate) envelopes: Vec<Envelope>,
}

/// How a relay comes by what a job runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum SpecSource {
    /// It is here.
    Text(Arc<str>),
    /// The node at this address has it, and the relay may have it from there already.
    Cached(SpecDigest, SocketAddr),
}

/// What became of a relay's orders, sent together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Reports {
    pub(crate) epoch: u64,
    pub(crate) node: NodeName,
    pub(crate) reports: Vec<Report>,
}

impl RelayRequest {
    /// Names what each job runs once, however many of its tasks start; by its digest where
    /// `origin` knows a node that has it.
    pub(crate) fn fold_specs(&mut self, mut origin: impl FnMut(JobId) -> Option<SocketAddr>) {
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

    /// Puts what each job runs back into its orders, as far as it is at hand here; gives the
    /// orders for which it has to be fetched first.
    pub(crate) fn unfold_specs(&mut self, specs: &mut SpecCache) -> Vec<Incomplete> {
        let sources: Map<JobId, SpecSource> = self.specs.drain(..).collect();
        for source in sources.values() {
            if let SpecSource::Text(spec) = source {
                specs.insert(spec);
            }
        }
        let mut incomplete = Vec::new();
        let mut whole = Vec::with_capacity(self.envelopes.len());
        for mut envelope in self.envelopes.drain(..) {
            let Order::Start(start) = &mut envelope.order else {
                whole.push(envelope);
                continue;
            };
            match sources.get(&start.task.job()) {
                Some(SpecSource::Text(spec)) => start.spec = spec.clone(),
                Some(SpecSource::Cached(digest, origin)) => match specs.get(digest) {
                    Some(spec) => start.spec = spec,
                    None => {
                        incomplete.push(Incomplete {
                            envelope,
                            digest: *digest,
                            origin: *origin,
                        });
                        continue;
                    }
                },
                None => {}
            }
            whole.push(envelope);
        }
        self.envelopes = whole;
        incomplete
    }
}

/// A start order for which what the job runs has to be fetched.
#[derive(Debug)]
pub(crate) struct Incomplete {
    pub(crate) envelope: Envelope,
    pub(crate) digest: SpecDigest,
    /// The node that has it.
    pub(crate) origin: SocketAddr,
}

impl Envelope {
    /// About what it takes up in a request, in bytes.
    pub(crate) fn size(&self) -> usize {
        /// Names, addresses and numbers.
        const BARE: usize = 80;
        match &self.order {
            Order::Start(start) => BARE + start.spec.len() + start.checkpoint.len(),
            Order::Look(..) | Order::Stop(_) | Order::Pace(_) => BARE,
        }
    }
}

impl Report {
    /// About what it takes up in a message, in bytes.
    pub(crate) fn size(&self) -> usize {
        /// Names and numbers of a report, and of a row of a look.
        const BARE: usize = 60;
        match self {
            Self::Looked(_, _, Ok(look)) => BARE * (1 + look.running.len() + look.ended.len()),
            Self::Seen(_, _, look) => BARE * (1 + look.rows.len() + look.ended.len()),
            Self::Looked(..) | Self::Started(..) | Self::Paced(..) => BARE,
        }
    }
}
