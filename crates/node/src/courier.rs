//! Brings orders to one relay.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_work::NodeName;
use tokio::sync::{Semaphore, mpsc};

use crate::cargo::{Cargo, Errand};
use crate::event::Event;
use crate::peer::OwnerLink;
use crate::shared::Shared;

/// Time for a relay to say that it has an order.
const LIMIT: Duration = Duration::from_millis(700);

/// Messages to one relay that are under way at a time.
const SIDE_BY_SIDE: usize = 8;

/// Largest message, in bytes.
const MAX_MESSAGE: usize = 32 << 10;

/// Messages that may wait for a relay; one that is so far behind counts as lost.
const QUEUE: usize = 256;

/// Brings orders to one relay, until it is dropped.
pub(crate) struct Courier {
    shared: Arc<Shared>,
    events: mpsc::Sender<Event>,
    epoch: u64,
    node: NodeName,
    /// What is to go out next.
    errands: Vec<Errand>,
    cargos: mpsc::Sender<Cargo>,
}

impl Courier {
    pub(crate) fn start(
        shared: Arc<Shared>,
        events: mpsc::Sender<Event>,
        epoch: u64,
        node: NodeName,
        addr: SocketAddr,
    ) -> Self {
        let (cargos, queue) = mpsc::channel(QUEUE);
        tokio::spawn(bring(node.clone(), addr, queue, events.clone()));
        Self {
            shared,
            events,
            epoch,
            node,
            errands: Vec::new(),
            cargos,
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.errands.is_empty()
    }

    pub(crate) fn add(&mut self, errand: Errand) {
        self.errands.push(errand);
    }

    /// Sends what was added; the ownership was confirmed then, on the relay's clock.
    pub(crate) fn send(&mut self, confirmed: Time) {
        let mut size = 0;
        let mut part = Vec::new();
        for errand in std::mem::take(&mut self.errands) {
            size += errand.size();
            part.push(errand);
            if size >= MAX_MESSAGE {
                self.send_part(std::mem::take(&mut part), confirmed);
                size = 0;
            }
        }
        if !part.is_empty() {
            self.send_part(part, confirmed);
        }
    }

    fn send_part(&self, errands: Vec<Errand>, confirmed: Time) {
        let mut cargo = Cargo {
            epoch: self.epoch,
            owner: self.shared.settings.listen.peers,
            confirmed,
            lapse: self.shared.lapse.as_millis() as u64,
            specs: Vec::new(),
            errands,
        };
        cargo.fold_specs();
        if self.cargos.try_send(cargo).is_err() {
            let lost = Event::RelayLost(self.node.clone(), "far behind");
            if self.events.try_send(lost).is_err() {
                log::warn!(relay:% = self.node; "relay is far behind, and so is the owner");
            }
        }
    }
}

/// Brings each cargo, until one does not arrive or the courier is gone.
async fn bring(
    node: NodeName,
    addr: SocketAddr,
    mut queue: mpsc::Receiver<Cargo>,
    events: mpsc::Sender<Event>,
) {
    let lost = |why| Event::RelayLost(node.clone(), why);
    let Some(link) = OwnerLink::connect(addr).await else {
        let _ = events.send(lost("cannot be reached")).await;
        return;
    };
    let lanes = Arc::new(Semaphore::new(SIDE_BY_SIDE));
    while let Some(cargo) = queue.recv().await {
        let Ok(lane) = lanes.clone().acquire_owned().await else {
            return;
        };
        let (link, events) = (link.clone(), events.clone());
        let lost = lost("does not take its orders");
        tokio::spawn(async move {
            let _lane = lane;
            if link.carry(cargo, LIMIT).await != Some(true) {
                let _ = events.send(lost).await;
            }
        });
    }
}
