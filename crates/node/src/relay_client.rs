//! The owner's side of a relay: forwards orders to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_relay::RelayTerm;
use cactuswheel_work::{JobId, NodeName};
use tokio::sync::{Semaphore, mpsc};

use crate::event::Event;
use crate::peer::PeerLink;
use crate::relay_request::{Envelope, RelayRequest};
use crate::shared::Shared;

/// Timeout of a message to a relay, not counting the queueing time on the link.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(700);

/// Number of messages to one relay in flight.
const MAX_IN_FLIGHT: usize = 8;

/// Size from which a message is sent, in bytes; further orders go into the next one.
const MAX_MESSAGE_SIZE: usize = 32 << 10;

/// Capacity of the send queue of a relay. A relay whose queue is full counts as lost.
const QUEUE_CAPACITY: usize = 256;

/// Forwards orders to one relay, until the client is dropped.
pub(crate) struct RelayClient {
    shared: Arc<Shared>,
    events: mpsc::Sender<Event>,
    epoch: u64,
    node: NodeName,
    term: RelayTerm,
    addr: SocketAddr,
    /// Orders for the next message.
    envelopes: Vec<Envelope>,
    requests: mpsc::Sender<RelayRequest>,
}

impl RelayClient {
    /// Starts a client for the relay `node` at `addr`. If the relay fails, the client sends
    /// [`Event::RelayLost`].
    pub(crate) fn start(
        shared: Arc<Shared>,
        events: mpsc::Sender<Event>,
        epoch: u64,
        node: NodeName,
        term: RelayTerm,
        addr: SocketAddr,
    ) -> Self {
        let (requests, queue) = mpsc::channel(QUEUE_CAPACITY);
        let limit = SUBMIT_TIMEOUT + shared.settings.link.queue_time();
        let lost = {
            let node = node.clone();
            move |why| Event::RelayLost(node.clone(), term, why)
        };
        tokio::spawn(forward(lost, addr, limit, queue, events.clone()));
        Self {
            shared,
            events,
            epoch,
            node,
            term,
            addr,
            envelopes: Vec::new(),
            requests,
        }
    }

    /// Whether no orders wait for [`Self::send`].
    pub(crate) fn is_empty(&self) -> bool {
        self.envelopes.is_empty()
    }

    /// Adds an order to the next message.
    pub(crate) fn add(&mut self, envelope: Envelope) {
        self.envelopes.push(envelope);
    }

    /// The relay's address, which also serves the specs that it has been sent.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends the added orders. `confirmed` is when the ownership was confirmed, on the relay's
    /// clock. A job's spec is omitted if `origin` gives the address of a node that has it.
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

    /// Sends orders as one message.
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
            let lost = Event::RelayLost(self.node.clone(), self.term, "send queue is full");
            if self.events.try_send(lost).is_err() {
                log::warn!(
                    relay:% = self.node;
                    "send queue of the relay and event queue of the owner are full"
                );
            }
        }
    }
}

/// Sends queued requests to the relay until the client is dropped. Sends the event `lost` if the
/// relay cannot be reached, or if a request is not accepted within `limit`.
async fn forward(
    lost: impl Fn(&'static str) -> Event,
    addr: SocketAddr,
    limit: Duration,
    mut queue: mpsc::Receiver<RelayRequest>,
    events: mpsc::Sender<Event>,
) {
    let Some(link) = PeerLink::connect(addr).await else {
        let _ = events.send(lost("connection failed")).await;
        return;
    };
    let slots = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    while let Some(request) = queue.recv().await {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let (link, events) = (link.clone(), events.clone());
        let lost = lost("orders were not accepted");
        tokio::spawn(async move {
            let _slot = slot;
            if link.submit(request, limit).await != Some(true) {
                let _ = events.send(lost).await;
            }
        });
    }
}
