//! Forwards orders to one relay.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_work::{JobId, NodeName};
use tokio::sync::{Semaphore, mpsc};

use crate::event::Event;
use crate::peer::OwnerLink;
use crate::relay_request::{Envelope, RelayRequest};
use crate::shared::Shared;

/// Time for a relay to say that it has an order.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(700);

/// Messages to one relay that are under way at a time.
const MAX_IN_FLIGHT: usize = 8;

/// Largest message, in bytes.
const MAX_MESSAGE_SIZE: usize = 32 << 10;

/// Messages that may wait for a relay; one that is so far behind counts as lost.
const QUEUE_CAPACITY: usize = 256;

/// Forwards orders to one relay, until it is dropped.
pub(crate) struct RelayClient {
    shared: Arc<Shared>,
    events: mpsc::Sender<Event>,
    epoch: u64,
    node: NodeName,
    addr: SocketAddr,
    /// What is to go out next.
    envelopes: Vec<Envelope>,
    requests: mpsc::Sender<RelayRequest>,
}

impl RelayClient {
    pub(crate) fn start(
        shared: Arc<Shared>,
        events: mpsc::Sender<Event>,
        epoch: u64,
        node: NodeName,
        addr: SocketAddr,
    ) -> Self {
        let (requests, queue) = mpsc::channel(QUEUE_CAPACITY);
        let limit = SUBMIT_TIMEOUT + shared.settings.link.queue_time();
        tokio::spawn(forward(node.clone(), addr, limit, queue, events.clone()));
        Self {
            shared,
            events,
            epoch,
            node,
            addr,
            envelopes: Vec::new(),
            requests,
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.envelopes.is_empty()
    }

    pub(crate) fn add(&mut self, envelope: Envelope) {
        self.envelopes.push(envelope);
    }

    /// Where the relay takes orders, and what it has been sent.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends what was added; the ownership was confirmed then, on the relay's clock. What a job
    /// runs is left out where `origin` knows a node that has it.
    pub(crate) fn send(
        &mut self,
        confirmed: Time,
        mut origin: impl FnMut(JobId) -> Option<SocketAddr>,
    ) {
        let mut size = 0;
        let mut chunk = Vec::new();
        for envelope in std::mem::take(&mut self.envelopes) {
            size += envelope.size();
            chunk.push(envelope);
            if size >= MAX_MESSAGE_SIZE {
                self.send_chunk(std::mem::take(&mut chunk), confirmed, &mut origin);
                size = 0;
            }
        }
        if !chunk.is_empty() {
            self.send_chunk(chunk, confirmed, &mut origin);
        }
    }

    fn send_chunk(
        &self,
        envelopes: Vec<Envelope>,
        confirmed: Time,
        origin: impl FnMut(JobId) -> Option<SocketAddr>,
    ) {
        let mut request = RelayRequest {
            epoch: self.epoch,
            owner: self.shared.settings.listen.peers,
            confirmed,
            expiry: self.shared.expiry().as_millis() as u64,
            specs: Vec::new(),
            envelopes,
        };
        request.extract_specs(origin);
        if self.requests.try_send(request).is_err() {
            let lost = Event::RelayLost(self.node.clone(), "far behind");
            if self.events.try_send(lost).is_err() {
                log::warn!(relay:% = self.node; "relay is far behind, and so is the owner");
            }
        }
    }
}

/// Forwards each request, until one does not arrive or the client is gone.
async fn forward(
    node: NodeName,
    addr: SocketAddr,
    limit: Duration,
    mut queue: mpsc::Receiver<RelayRequest>,
    events: mpsc::Sender<Event>,
) {
    let lost = |why| Event::RelayLost(node.clone(), why);
    let Some(link) = OwnerLink::connect(addr).await else {
        let _ = events.send(lost("cannot be reached")).await;
        return;
    };
    let slots = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    while let Some(request) = queue.recv().await {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let (link, events) = (link.clone(), events.clone());
        let lost = lost("does not take its orders");
        tokio::spawn(async move {
            let _slot = slot;
            if link.submit(request, limit).await != Some(true) {
                let _ = events.send(lost).await;
            }
        });
    }
}
