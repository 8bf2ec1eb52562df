//! Starts and stops the parts of a node.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use rand::Rng;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::election::Election;
use crate::front::{self, Front};
use crate::intake::Intake;
use crate::metrics::Metrics;
use crate::role::Role;
use crate::shared::Shared;
use crate::{NodeError, Settings, config_follower, owner, peer, ready, relay_server, view};

/// Time from the signal to stop until no more connections are taken: the balancer looks once a
/// second and believes the second refusal.
const LAG: Duration = Duration::from_millis(2_300);

/// Time left before the process is killed.
const LAST_MOMENT: Duration = Duration::from_millis(500);

/// How often a stopping node looks whether it has answered everything.
const LOOK: Duration = Duration::from_millis(50);

/// Runs a node until it is told to stop.
pub async fn run(path: PathBuf, settings: Settings) -> Result<(), NodeError> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hangup = signal(SignalKind::hangup())?;
    let life: u64 = rand::rng().random();
    let callers = TcpListener::bind(settings.listen.callers).await?;
    let balancer = TcpListener::bind(settings.listen.ready).await?;
    let peers = TcpListener::bind(settings.listen.peers).await?;
    let readers = TcpListener::bind(settings.listen.metrics).await?;
    let shared = Arc::new(Shared::new(settings, life, Metrics::new()?));
    log::info!(
        node:% = shared.settings.node, zone:% = shared.settings.zone, life = life,
        callers:% = shared.settings.listen.callers, version = env!("CARGO_PKG_VERSION");
        "node starts"
    );
    let (role, roles) = watch::channel(Role::Idle);
    let (halt, halted) = watch::channel(false);
    serve_others(&shared, balancer, peers, readers);
    tokio::spawn(reload(hangup, path, shared.clone()));
    tokio::spawn(owner::run(shared.clone(), roles.clone()));
    let lead = Election::new(shared.clone(), life, role);
    let lead = tokio::spawn(lead.run(halted));
    let front = Arc::new(Front {
        intake: Intake::start(&shared, life),
        shared: shared.clone(),
        busy: AtomicUsize::new(0),
    });
    let stop = CancellationToken::new();
    let open = TaskTracker::new();
    let server = front::serve(callers, front.clone(), open.clone(), stop.clone());
    let server = tokio::spawn(server);
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!(busy = front.busy.load(Ordering::Acquire) as u64; "node stops");
    shared.stop();
    let _ = halt.send(true);
    let finish = async {
        let _ = lead.await;
        if let Role::Owner { epoch, .. } = *roles.borrow() {
            Election::release(&shared, epoch, life).await;
        }
        sleep(LAG).await;
        stop.cancel();
        let _ = server.await;
        answer_all(&front, &open).await;
    };
    let grace = shared.settings.times.grace.duration();
    let whole = timeout(grace.saturating_sub(LAST_MOMENT), finish).await;
    log::info!(
        whole = whole.is_ok(), busy = front.busy.load(Ordering::Acquire) as u64;
        "node stopped"
    );
    // The last lines are written by another thread.
    sleep(LOOK).await;
    Ok(())
}

/// Starts what goes on until the process ends, whoever owns the cell.
fn serve_others(
    shared: &Arc<Shared>,
    balancer: TcpListener,
    peers: TcpListener,
    readers: TcpListener,
) {
    tokio::spawn(config_follower::follow(shared.clone()));
    tokio::spawn(ready::serve(balancer, shared.clone()));
    tokio::spawn(peer::serve(peers, shared.clone()));
    tokio::spawn(serve_metrics(readers, shared.clone()));
    tokio::spawn(relay_server::offer_relay(shared.clone()));
}

/// Waits until every request has its answer and every caller's connection is closed.
async fn answer_all(front: &Front, open: &TaskTracker) {
    open.close();
    open.wait().await;
    while front.busy.load(Ordering::Acquire) > 0 {
        sleep(LOOK).await;
    }
}

async fn serve_metrics(listener: TcpListener, shared: Arc<Shared>) {
    cactuswheel_http::serve(listener, move |request| {
        view::answer(shared.clone(), request.uri().path().to_owned())
    })
    .await;
}

/// Says at each hangup what the settings file holds now. Addresses and names are fixed for the
/// life of a process; whoever changes them restarts it.
async fn reload(mut hangup: Signal, path: PathBuf, shared: Arc<Shared>) {
    while hangup.recv().await.is_some() {
        match Settings::load(&path) {
            Ok(settings) => {
                let changed = settings != shared.settings;
                log::info!(changed = changed; "settings reloaded: in force from the next start");
            }
            Err(e) => log::error!(error:% = e; "settings are not usable: the old ones hold"),
        }
    }
}
