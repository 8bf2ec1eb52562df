//! Startup and shutdown of a node.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use rand::Rng;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::callers::Callers;
use crate::election::Election;
use crate::front::Front;
use crate::intake::Intake;
use crate::logging::flush_log;
use crate::metrics::Metrics;
use crate::role::Role;
use crate::shared::Shared;
use crate::{NodeError, Settings, config_follower, owner, peer, ready, relay_server, view};

/// Time for writing the last lines of the log, part of the time reserved for exiting.
const LOG_LIMIT: Duration = Duration::from_millis(300);

/// Runs a node until it receives SIGTERM or SIGINT.
pub async fn run(path: PathBuf, settings: Settings) -> Result<(), NodeError> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hangup = signal(SignalKind::hangup())?;
    let incarnation: u64 = rand::rng().random();
    let callers = TcpListener::bind(settings.listen.callers).await?;
    let ready_listener = TcpListener::bind(settings.listen.ready).await?;
    let peers = TcpListener::bind(settings.listen.peers).await?;
    let metrics_listener = TcpListener::bind(settings.listen.metrics).await?;
    let shared = Arc::new(Shared::new(settings, incarnation, Metrics::new()?));
    log::info!(
        node:% = shared.settings.node, zone:% = shared.settings.zone, life = incarnation,
        callers:% = shared.settings.listen.callers, version = env!("CARGO_PKG_VERSION");
        "node starting"
    );
    let (role, roles) = watch::channel(Role::Idle);
    let (halt, halted) = watch::channel(false);
    spawn_services(&shared, ready_listener, peers, metrics_listener);
    tokio::spawn(watch_settings(hangup, path, shared.clone()));
    tokio::spawn(owner::run(shared.clone(), roles));
    let election = Election::new(shared.clone(), incarnation, role);
    tokio::spawn(election.run(halted));
    let front = Arc::new(Front {
        intake: Intake::start(&shared, incarnation),
        shared: shared.clone(),
        in_flight: AtomicUsize::new(0),
        idle_closed: AtomicUsize::new(0),
        answers_due: CancellationToken::new(),
    });
    let callers = Callers::accept(callers, front);
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    let stop = shared.begin_stop();
    let _ = halt.send(true);
    callers.wind_down(stop).await;
    flush_log(LOG_LIMIT).await;
    Ok(())
}

/// Starts the tasks that run until the process ends, independent of who owns the cell.
fn spawn_services(
    shared: &Arc<Shared>,
    ready_listener: TcpListener,
    peers: TcpListener,
    metrics_listener: TcpListener,
) {
    tokio::spawn(config_follower::follow(shared.clone()));
    tokio::spawn(ready::serve(ready_listener, shared.clone()));
    tokio::spawn(peer::serve(peers, shared.clone()));
    tokio::spawn(serve_metrics(metrics_listener, shared.clone()));
    tokio::spawn(relay_server::offer_relay(shared.clone()));
}

async fn serve_metrics(listener: TcpListener, shared: Arc<Shared>) {
    cactuswheel_http::serve(listener, move |request| {
        view::answer(shared.clone(), request.uri().path().to_owned())
    })
    .await;
}

/// Checks the settings file at each SIGHUP and logs whether it differs from the settings in use.
/// Settings are fixed for the lifetime of the process; changes need a restart.
async fn watch_settings(mut hangup: Signal, path: PathBuf, shared: Arc<Shared>) {
    while hangup.recv().await.is_some() {
        match Settings::load(&path) {
            Ok(settings) => {
                let changed = settings != shared.settings;
                log::info!(
                    changed = changed;
                    "settings file read; changes take effect after a restart"
                );
            }
            Err(e) => log::error!(error:% = e; "invalid settings file; keeping old settings"),
        }
    }
}
