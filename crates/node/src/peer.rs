//! RPCs between nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cactuswheel_cell::{Standing, StartDelay, StateRoom};
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

/// Maximum size of a frame, in bytes. A larger frame closes the connection.
const MAX_FRAME: usize = 256 << 10;

/// Timeout for connecting to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Pause after a failed `accept`, so that running out of file descriptors does not cause a busy
/// loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long a node that is asked for a job spec waits for it: the owner may have just sent it.
const SPEC_WAIT: Duration = Duration::from_millis(300);

/// Interval at which the spec cache is polled during this wait.
const SPEC_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Node, address and epoch of the cell's owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OwnerAddress {
    pub(crate) node: NodeName,
    pub(crate) addr: SocketAddr,
    pub(crate) epoch: u64,
}

/// Answer to a query for a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum JobAnswer {
    /// The job exists.
    Known {
        state: JobState,
        team: Option<TeamName>,
    },
    /// There is no such job. The owner knows of every accepted job.
    Unknown,
    /// The node does not own the cell, or has not finished its takeover.
    NotOwner,
}

/// Answer to a query for a queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum QueueAnswer {
    /// Number of jobs of which no task has started.
    Pending(u64),
    /// The node does not own the cell, or has not finished its takeover.
    NotOwner,
}

/// What the owner expects for a new job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Prospects {
    /// How long the job would wait.
    pub(crate) delay: StartDelay,
    /// Room for the job in the state of the open jobs.
    pub(crate) room: StateRoom,
}

/// The owner's answer to a job that a front end handed in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum HandInAnswer {
    /// The job is stored; holds the room left for further jobs of its team.
    Accepted(StateRoom),
    /// The job was not stored and never will be.
    Refused,
    /// The job was not stored and never will be, because it would start too late.
    Overloaded(StartDelay),
    /// The job was not stored and never will be, because the state of the open jobs has only this
    /// much room for a job of its team.
    Full(StateRoom),
    /// The outcome is unknown: the job may be accepted already, or be accepted later.
    Unknown,
}

/// RPCs between nodes.
#[tarpc::service]
pub(crate) trait Peer {
    /// To the owner: the state of a job.
    async fn job(id: JobId) -> JobAnswer;
    /// To the owner: the number of a queue's jobs that have not started.
    async fn queue(name: QueueName) -> QueueAnswer;
    /// To the owner: what it knows of a job without reading the intake, and its prospects for a new
    /// job of this service and team; `None` from a node that is not the owner.
    async fn standing(
        id: JobId,
        service: ServiceName,
        team: Option<TeamName>,
    ) -> Option<(Standing, Prospects)>;
    /// To the owner: accept this job within `limit` milliseconds. The front end at `origin` keeps
    /// the job spec.
    async fn hand_in(record: Bytes, origin: SocketAddr, limit: u64) -> HandInAnswer;
    /// To any node: a job spec, if the node has it.
    async fn spec(digest: SpecDigest) -> Option<Arc<str>>;
    /// To the owner: the caller offers to relay orders, or sends its heartbeat as a relay.
    /// `memory` is that of the caller, in MiB.
    async fn enlist(offer: Offer, memory: u64) -> Reply;
    /// To a relay: send these orders to their workers. False if the relay already serves a
    /// newer owner.
    async fn submit(request: RelayRequest) -> bool;
    /// To the owner: outcomes of its orders. False if the node does not own the cell any more.
    async fn report(reports: Reports) -> bool;
}

#[derive(Clone)]
struct Server(Arc<Shared>, Arc<RelayServer>);

impl Peer for Server {
    async fn job(self, _: Context, id: JobId) -> JobAnswer {
        match self.0.local_owner.load_full() {
            Some(own) => own.job(id).await,
            None => JobAnswer::NotOwner,
        }
    }

    async fn queue(self, _: Context, name: QueueName) -> QueueAnswer {
        match self.0.local_owner.load_full() {
            Some(own) => own.queue(name).await,
            None => QueueAnswer::NotOwner,
        }
    }

    async fn standing(
        self,
        _: Context,
        id: JobId,
        service: ServiceName,
        team: Option<TeamName>,
    ) -> Option<(Standing, Prospects)> {
        let own = self.0.local_owner.load_full()?;
        own.standing(id, service, team).await
    }

    async fn hand_in(
        self,
        _: Context,
        record: Bytes,
        origin: SocketAddr,
        limit: u64,
    ) -> HandInAnswer {
        let limit = Duration::from_millis(limit);
        match self.0.local_owner.load_full() {
            Some(own) => own.hand_in(record, origin, limit).await,
            None => HandInAnswer::Refused,
        }
    }

    async fn spec(self, _: Context, digest: SpecDigest) -> Option<Arc<str>> {
        let deadline = self.0.clock.now().after(SPEC_WAIT);
        loop {
            let spec = self.0.specs().get(&digest);
            if spec.is_some() || self.0.clock.now() >= deadline {
                return spec;
            }
            sleep(SPEC_POLL_INTERVAL).await;
        }
    }

    async fn enlist(self, _: Context, offer: Offer, memory: u64) -> Reply {
        self.0.learn_memory(memory);
        match self.0.local_owner.load_full() {
            Some(own) => own.enlist(offer).await,
            None => Reply::NotOwner,
        }
    }

    async fn submit(self, _: Context, request: RelayRequest) -> bool {
        self.1.accept(request)
    }

    async fn report(self, _: Context, reports: Reports) -> bool {
        match self.0.local_owner.load_full() {
            Some(own) => own.report(reports).await,
            None => false,
        }
    }
}

/// Serves other nodes until the task is dropped.
pub(crate) async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let relay = Arc::new(RelayServer::new(shared.clone()));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Without this, small answers wait for a delayed acknowledgement.
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

/// A connection to another node.
#[derive(Debug, Clone)]
pub(crate) struct PeerLink {
    pub(crate) addr: SocketAddr,
    client: PeerClient,
}

impl PeerLink {
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
        self.client.job(context_with_timeout(limit), id).await.ok()
    }

    pub(crate) async fn queue(&self, name: QueueName, limit: Duration) -> Option<QueueAnswer> {
        self.client
            .queue(context_with_timeout(limit), name)
            .await
            .ok()
    }

    /// `None` if the node does not answer or is not the owner.
    pub(crate) async fn standing(
        &self,
        id: JobId,
        service: ServiceName,
        team: Option<TeamName>,
        limit: Duration,
    ) -> Option<(Standing, Prospects)> {
        let answer = self
            .client
            .standing(context_with_timeout(limit), id, service, team);
        answer.await.ok()?
    }

    /// `None` if there is no answer: the job may be accepted already, or be accepted later.
    pub(crate) async fn hand_in(
        &self,
        record: Bytes,
        origin: SocketAddr,
        limit: Duration,
    ) -> Option<HandInAnswer> {
        let ms = limit.as_millis() as u64;
        let answer = self
            .client
            .hand_in(context_with_timeout(limit), record, origin, ms);
        answer.await.ok()
    }

    /// `None` if the node does not have the spec or does not answer.
    pub(crate) async fn spec(&self, digest: SpecDigest, limit: Duration) -> Option<Arc<str>> {
        self.client
            .spec(context_with_timeout(limit), digest)
            .await
            .ok()?
    }

    pub(crate) async fn enlist(&self, offer: Offer, memory: u64, limit: Duration) -> Option<Reply> {
        self.client
            .enlist(context_with_timeout(limit), offer, memory)
            .await
            .ok()
    }

    pub(crate) async fn submit(&self, request: RelayRequest, limit: Duration) -> Option<bool> {
        self.client
            .submit(context_with_timeout(limit), request)
            .await
            .ok()
    }

    pub(crate) async fn report(&self, reports: Reports, limit: Duration) -> Option<bool> {
        self.client
            .report(context_with_timeout(limit), reports)
            .await
            .ok()
    }
}

fn context_with_timeout(limit: Duration) -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}
