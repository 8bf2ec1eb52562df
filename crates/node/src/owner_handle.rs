//! Handle to the owner running on this node.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cactuswheel_cell::Standing;
use cactuswheel_relay::{Offer, Reply};
use cactuswheel_work::{JobId, QueueName, ServiceName, TeamName};
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use crate::clock::Clock;
use crate::event::{Event, HandInRequest, Query};
use crate::peer::{HandInAnswer, JobAnswer, Prospects, QueueAnswer};
use crate::relay_request::Reports;

/// Handle through which other tasks send events and queries to the owner on this node.
#[derive(Debug)]
pub(crate) struct OwnerHandle {
    pub(crate) events: mpsc::Sender<Event>,
}

impl OwnerHandle {
    /// Sends a query to the owner. If the owner has stopped, the query is dropped along with its
    /// reply channel, so the caller's receiver fails at once.
    async fn send_query(&self, query: Query) {
        let _ = self.events.send(Event::Query(query)).await;
    }

    /// Looks up the state of a job.
    pub(crate) async fn job(&self, id: JobId) -> JobAnswer {
        let (reply, answer) = oneshot::channel();
        self.send_query(Query::Job(id, reply)).await;
        answer.await.unwrap_or(JobAnswer::NotOwner)
    }

    /// Looks up the number of pending jobs of a queue.
    pub(crate) async fn queue(&self, name: QueueName) -> QueueAnswer {
        let (reply, answer) = oneshot::channel();
        self.send_query(Query::Queue(name, reply)).await;
        answer.await.unwrap_or(QueueAnswer::NotOwner)
    }

    /// Returns what the cell knows of a job, and the prospects of new jobs of `service` and `team`;
    /// `None` if the owner has stopped.
    pub(crate) async fn standing(
        &self,
        id: JobId,
        service: ServiceName,
        team: Option<TeamName>,
    ) -> Option<(Standing, Prospects)> {
        let (reply, answer) = oneshot::channel();
        let query = Query::Standing(id, service, team, reply);
        self.send_query(query).await;
        answer.await.ok()
    }

    /// Returns the operators' view of the cell as JSON; `None` if the owner has stopped.
    pub(crate) async fn cell_view(&self) -> Option<Value> {
        let (reply, answer) = oneshot::channel();
        self.send_query(Query::CellView(reply)).await;
        answer.await.ok()
    }

    /// Returns the operators' view of a job as JSON; `None` if the owner doesn't know the job or
    /// has stopped.
    pub(crate) async fn job_view(&self, id: JobId) -> Option<Value> {
        let (reply, answer) = oneshot::channel();
        self.send_query(Query::JobView(id, reply)).await;
        answer.await.ok()?
    }

    /// Passes on a node's offer to relay orders.
    pub(crate) async fn enlist(&self, offer: Offer) -> Reply {
        let (reply, answer) = oneshot::channel();
        if self.events.send(Event::Offer(offer, reply)).await.is_err() {
            return Reply::NotOwner;
        }
        answer.await.unwrap_or(Reply::NotOwner)
    }

    /// Hands a job in for acceptance within `limit`. Returns [`HandInAnswer::Unknown`] if the owner
    /// ends without an answer: the job may be in a journal batch that is in flight.
    pub(crate) async fn hand_in(
        &self,
        record: Bytes,
        origin: SocketAddr,
        limit: Duration,
    ) -> HandInAnswer {
        let (reply, answer) = oneshot::channel();
        let until = Clock.now().after(limit);
        let request = HandInRequest {
            record,
            origin,
            until,
            reply,
        };
        if self.events.send(Event::HandIn(request)).await.is_err() {
            return HandInAnswer::Refused;
        }
        answer.await.unwrap_or(HandInAnswer::Unknown)
    }

    /// Passes on the reports of a relay. Returns false if the owner has stopped.
    pub(crate) async fn report(&self, reports: Reports) -> bool {
        let (reply, answer) = oneshot::channel();
        let sent = self.events.send(Event::RelayReports(reports, reply)).await;
        sent.is_ok() && answer.await.unwrap_or(false)
    }
}
