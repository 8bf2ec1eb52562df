//! How other tasks of a node reach its owner.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cactuswheel_cell::{Standing, Waits};
use cactuswheel_relay::{Offer, Reply};
use cactuswheel_work::{JobId, QueueName, ServiceName};
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use crate::clock::Clock;
use crate::event::{Ask, Event, Handed};
use crate::peer::{HandInAnswer, JobAnswer, QueueAnswer};
use crate::relay_request::Reports;

/// How other tasks reach the owner on this node.
#[derive(Debug)]
pub(crate) struct OwnerHandle {
    pub(crate) events: mpsc::Sender<Event>,
}

impl OwnerHandle {
    /// Without an owner the question is dropped, and whoever waits for the answer hears of it.
    async fn ask(&self, ask: Ask) {
        let _ = self.events.send(Event::Ask(ask)).await;
    }

    pub(crate) async fn job(&self, id: JobId) -> JobAnswer {
        let (reply, answer) = oneshot::channel();
        self.ask(Ask::Job(id, reply)).await;
        answer.await.unwrap_or(JobAnswer::NotOwner)
    }

    pub(crate) async fn queue(&self, name: QueueName) -> QueueAnswer {
        let (reply, answer) = oneshot::channel();
        self.ask(Ask::Queue(name, reply)).await;
        answer.await.unwrap_or(QueueAnswer::NotOwner)
    }

    /// `None` if the owner is gone.
    pub(crate) async fn standing(
        &self,
        id: JobId,
        service: ServiceName,
    ) -> Option<(Standing, Waits)> {
        let (reply, answer) = oneshot::channel();
        self.ask(Ask::Standing(id, service, reply)).await;
        answer.await.ok()
    }

    /// The cell, for operators; `None` if the owner is gone.
    pub(crate) async fn cell_view(&self) -> Option<Value> {
        let (reply, answer) = oneshot::channel();
        self.ask(Ask::View(reply)).await;
        answer.await.ok()
    }

    /// One job, for operators; `None` if there is none.
    pub(crate) async fn job_view(&self, id: JobId) -> Option<Value> {
        let (reply, answer) = oneshot::channel();
        self.ask(Ask::Story(id, reply)).await;
        answer.await.ok()?
    }

    pub(crate) async fn enlist(&self, offer: Offer) -> Reply {
        let (reply, answer) = oneshot::channel();
        if self.events.send(Event::Offer(offer, reply)).await.is_err() {
            return Reply::NotOwner;
        }
        answer.await.unwrap_or(Reply::NotOwner)
    }

    /// Without an answer the job may be in a batch that is under way.
    pub(crate) async fn hand_in(
        &self,
        record: Bytes,
        origin: SocketAddr,
        limit: Duration,
    ) -> HandInAnswer {
        let (reply, answer) = oneshot::channel();
        let until = Clock.now().after(limit);
        let handed = Handed {
            record,
            origin,
            until,
            reply,
        };
        if self.events.send(Event::HandIn(handed)).await.is_err() {
            return HandInAnswer::Refused;
        }
        answer.await.unwrap_or(HandInAnswer::Unknown)
    }

    /// False if the owner is gone.
    pub(crate) async fn report(&self, reports: Reports) -> bool {
        let (reply, answer) = oneshot::channel();
        let sent = self.events.send(Event::Relayed(reports, reply)).await;
        sent.is_ok() && answer.await.unwrap_or(false)
    }
}
