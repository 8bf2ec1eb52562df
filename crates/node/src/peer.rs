//! What nodes ask the cell's owner.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cactuswheel_cell::{Standing, Waits};
use cactuswheel_relay::{Offer, Reply, SpecDigest};
use cactuswheel_work::{JobId, JobState, NodeName, QueueName, ServiceName, TeamName};
use futures::StreamExt;
use serde::{Deserialize, Serialize};
use tarpc::client::Config;
use tarpc::context::{self, Context};
use tarpc::serde_transport::new;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::codec::LengthDelimitedCodec;

use crate::peer_traffic::metered;
use crate::relay_request::{RelayRequest, Reports};
use crate::relay_server::RelayServer;
use crate::shared::Shared;

/// Largest frame, in bytes; a longer one ends the connection.
const MAX_FRAME: usize = 256 << 10;

/// Time for a connection to the owner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Pause after a failed `accept`, so that running out of descriptors does not spin a core.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time that a node waits for what a job runs: the owner may have sent it just now.
const SPEC_WAIT: Duration = Duration::from_millis(300);

/// Pause between two looks for it.
const SPEC_PAUSE: Duration = Duration::from_millis(20);

/// Where the cell's owner is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OwnerAt {
    pub(crate) node: NodeName,
    pub(crate) addr: SocketAddr,
    pub(crate) epoch: u64,
}

/// What the owner says of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum JobAnswer {
    /// It is known.
    Known {
        state: JobState,
        team: Option<TeamName>,
    },
    /// There is no such job: the owner knows everything that was accepted.
    Unknown,
    /// Whoever was asked does not own the cell, or not yet.
    NotOwner,
}

/// What the owner says of a queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum QueueAnswer {
    /// Jobs of which no task has started.
    Pending(u64),
    /// Whoever was asked does not own the cell, or not yet.
    NotOwner,
}

/// What the owner says of a job that a front has handed in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum HandInAnswer {
    /// The store holds it.
    Accepted,
    /// It left no trace and never will.
    Refused,
    /// The same: it would begin too late.
    Overloaded(Waits),
    /// It may be accepted, now or later.
    Unknown,
}

/// Calls between nodes.
#[tarpc::service]
pub(crate) trait Peer {
    async fn job(id: JobId) -> JobAnswer;
    async fn queue(name: QueueName) -> QueueAnswer;
    /// What the owner knows of a job, without a look at what was accepted elsewhere, and how long
    /// a new one of its service waits; `None` from a node that is no owner.
    async fn standing(id: JobId, service: ServiceName) -> Option<(Standing, Waits)>;
    /// To the owner: accept this job within `limit` milliseconds.
    /// The front at `origin` keeps what the job runs.
    async fn hand_in(record: Bytes, origin: SocketAddr, limit: u64) -> HandInAnswer;
    /// What a job runs, if it is kept here.
    async fn spec(digest: SpecDigest) -> Option<Arc<str>>;
    /// To the owner: the caller offers to relay orders, or goes on doing so.
    async fn enlist(offer: Offer) -> Reply;
    /// To a relay: send these orders to their workers. False if a newer owner's are relayed.
    async fn submit(request: RelayRequest) -> bool;
    /// To the owner: what became of its orders. False if the caller is no owner any more.
    async fn report(reports: Reports) -> bool;
}

#[derive(Clone)]
struct Server(Arc<Shared>, Arc<RelayServer>);

impl Peer for Server {
    async fn job(self, _: Context, id: JobId) -> JobAnswer {
        match self.0.own.load_full() {
            Some(own) => own.job(id).await,
            None => JobAnswer::NotOwner,
        }
    }

    async fn queue(self, _: Context, name: QueueName) -> QueueAnswer {
        match self.0.own.load_full() {
            Some(own) => own.queue(name).await,
            None => QueueAnswer::NotOwner,
        }
    }

    async fn standing(
        self,
        _: Context,
        id: JobId,
        service: ServiceName,
    ) -> Option<(Standing, Waits)> {
        self.0.own.load_full()?.standing(id, service).await
    }

    async fn hand_in(
        self,
        _: Context,
        record: Bytes,
        origin: SocketAddr,
        limit: u64,
    ) -> HandInAnswer {
        let limit = Duration::from_millis(limit);
        match self.0.own.load_full() {
            Some(own) => own.hand_in(record, origin, limit).await,
            None => HandInAnswer::Refused,
        }
    }

    async fn spec(self, _: Context, digest: SpecDigest) -> Option<Arc<str>> {
        let until = self.0.clock.now().after(SPEC_WAIT);
        loop {
            let spec = self.0.specs().get(&digest);
            if spec.is_some() || self.0.clock.now() >= until {
                return spec;
            }
            sleep(SPEC_PAUSE).await;
        }
    }

    async fn enlist(self, _: Context, offer: Offer) -> Reply {
        match self.0.own.load_full() {
            Some(own) => own.enlist(offer).await,
            None => Reply::NotOwner,
        }
    }

    async fn submit(self, _: Context, request: RelayRequest) -> bool {
        self.1.accept(request)
    }

    async fn report(self, _: Context, reports: Reports) -> bool {
        match self.0.own.load_full() {
            Some(own) => own.report(reports).await,
            None => false,
        }
    }
}

/// Answers other nodes until the task is dropped.
pub(crate) async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let relay = Arc::new(RelayServer::new(shared.clone()));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Small answers would otherwise wait for a delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        let framed = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME)
            .new_framed(metered(stream));
        let channel = BaseChannel::with_defaults(new(framed, Bincode::default()));
        let server = Server(shared.clone(), relay.clone());
        tokio::spawn(channel.execute(server.serve()).for_each(|answer| async {
            tokio::spawn(answer);
        }));
    }
}

/// A connection to the owner.
#[derive(Debug, Clone)]
pub(crate) struct OwnerLink {
    pub(crate) addr: SocketAddr,
    client: PeerClient,
}

impl OwnerLink {
    pub(crate) async fn connect(addr: SocketAddr) -> Option<Self> {
        let connect = TcpStream::connect(addr);
        let stream = timeout(CONNECT_TIMEOUT, connect).await.ok()?.ok()?;
        let framed = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME)
            .new_framed(metered(stream));
        let transport = new(framed, Bincode::default());
        let client = PeerClient::new(Config::default(), transport).spawn();
        Some(Self { addr, client })
    }

    pub(crate) async fn job(&self, id: JobId, limit: Duration) -> Option<JobAnswer> {
        self.client.job(within(limit), id).await.ok()
    }

    pub(crate) async fn queue(&self, name: QueueName, limit: Duration) -> Option<QueueAnswer> {
        self.client.queue(within(limit), name).await.ok()
    }

    /// `None` if no owner answers there.
    pub(crate) async fn standing(
        &self,
        id: JobId,
        service: ServiceName,
        limit: Duration,
    ) -> Option<(Standing, Waits)> {
        let answer = self.client.standing(within(limit), id, service);
        answer.await.ok()?
    }

    /// `None` if the answer did not come: the job may be accepted, now or later.
    pub(crate) async fn hand_in(
        &self,
        record: Bytes,
        origin: SocketAddr,
        limit: Duration,
    ) -> Option<HandInAnswer> {
        let ms = limit.as_millis() as u64;
        let answer = self.client.hand_in(within(limit), record, origin, ms);
        answer.await.ok()
    }

    /// `None` if it is not kept there, or no answer came.
    pub(crate) async fn spec(&self, digest: SpecDigest, limit: Duration) -> Option<Arc<str>> {
        self.client.spec(within(limit), digest).await.ok()?
    }

    pub(crate) async fn enlist(&self, offer: Offer, limit: Duration) -> Option<Reply> {
        self.client.enlist(within(limit), offer).await.ok()
    }

    pub(crate) async fn submit(&self, request: RelayRequest, limit: Duration) -> Option<bool> {
        self.client.submit(within(limit), request).await.ok()
    }

    pub(crate) async fn report(&self, reports: Reports, limit: Duration) -> Option<bool> {
        self.client.report(within(limit), reports).await.ok()
    }
}

fn within(limit: Duration) -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}
