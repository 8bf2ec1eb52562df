//! One entry instance in a process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuswheel_http::serve;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::peers::Answerer;
use crate::shared::Shared;
use crate::{
    Phase, Settings, StartError, admin, appender, catch_up, denials, follower, holding, jobs,
    maintenance, metrics, peers, proxy, shares, sightings, snapshots,
};

/// Time between two looks whether the entry may start work.
const OPEN_LOOK: Duration = Duration::from_millis(20);

/// Time for the refusals of what is still under way when a stop waits no longer.
const REFUSAL_LIMIT: Duration = Duration::from_millis(500);

/// A running entry instance.
#[derive(Debug)]
pub struct Node {
    shared: Arc<Shared>,
    /// Keeps the instruments alive.
    _meters: SdkMeterProvider,
    callers: SocketAddr,
    admin: SocketAddr,
    /// Connections of callers that are open.
    open: TaskTracker,
    /// Tells callers' connections to end after the exchange they are in.
    stop: CancellationToken,
}

impl Node {
    /// Listens and starts all tasks.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let callers = bind(settings.listen.callers).await?;
        let admin = bind(settings.listen.admin).await?;
        let peer = bind(settings.listen.peer).await?;
        let shared = Arc::new(Shared::new(settings));
        let node = Self {
            callers: addr(&callers)?,
            admin: addr(&admin)?,
            shared: shared.clone(),
            _meters: metrics::start(&shared).map_err(|e| StartError::Metrics(e.to_string()))?,
            open: TaskTracker::new(),
            stop: CancellationToken::new(),
        };
        tokio::spawn(follower::follow(shared.clone()));
        tokio::spawn(catch_up::watch(shared.clone()));
        tokio::spawn(snapshots::write_when_due(shared.clone()));
        tokio::spawn(appender::run(shared.clone()));
        tokio::spawn(proxy::start_waiting(shared.clone()));
        tokio::spawn(shares::balance(shared.clone()));
        tokio::spawn(denials::record(shared.clone()));
        tokio::spawn(holding::drive(shared.clone()));
        tokio::spawn(holding::watch(shared.clone()));
        tokio::spawn(sightings::watch(shared.clone()));
        tokio::spawn(maintenance::drive(shared.clone()));
        tokio::spawn(jobs::write(shared.clone()));
        tokio::spawn(jobs::drive(shared.clone()));
        tokio::spawn(cactuswheel_wire::serve(peer, Answerer(shared.clone())));
        for peer in shared.settings.peers.clone() {
            tokio::spawn(peers::beat(shared.clone(), peer));
        }
        let operators = shared.clone();
        tokio::spawn(serve(admin, move |r| admin::answer(operators.clone(), r)));
        // Tracked as well: a stop waits until it has accepted what was under way.
        let (open, stop) = (node.open.clone(), node.stop.clone());
        node.open.spawn(proxy::serve(callers, shared, open, stop));
        Ok(node)
    }

    /// Where callers reach it.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Where operators reach it.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Waits until it may start work.
    pub async fn wait_open(&self) {
        while !self.shared.is_open() {
            tokio::time::sleep(OPEN_LOOK).await;
        }
    }

    /// Serves until SIGTERM or SIGINT, then stops without cutting a request.
    pub async fn run_until_signal(self) -> Result<(), StartError> {
        let mut term = signal(SignalKind::terminate()).map_err(StartError::Signal)?;
        tokio::select! {
            _ = term.recv() => {}
            done = tokio::signal::ctrl_c() => done.map_err(StartError::Signal)?,
        }
        self.stop().await;
        Ok(())
    }

    /// Not ready first, then no new connections, then the end of all that run.
    pub async fn stop(self) {
        self.shared.phase.advance(Phase::Stopping);
        let limits = &self.shared.settings.limits;
        tokio::time::sleep(limits.balancer_ms.duration()).await;
        self.stop.cancel();
        self.open.close();
        if timeout(limits.drain_ms.duration(), self.open.wait())
            .await
            .is_err()
        {
            log::error!("stopping with {} connections still busy", self.open.len());
            self.shared.drained_out.cancel();
            let _ = timeout(REFUSAL_LIMIT, self.open.wait()).await;
        }
        holding::hand_back(&self.shared).await;
    }
}

async fn bind(at: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(at)
        .await
        .map_err(|e| StartError::Listen(at, e))
}

fn addr(listener: &TcpListener) -> Result<SocketAddr, StartError> {
    listener
        .local_addr()
        .map_err(|e| StartError::Listen(([0, 0, 0, 0], 0).into(), e))
}
