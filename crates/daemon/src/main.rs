//! `cactuswheeld`: one entry instance, or a whole small fleet in one process.

use std::net::{IpAddr, Ipv4Addr};
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use cactuswheel_daemon::{Limits, Node, Settings, StartError, init_log, run_embedded};
use cactuswheel_node::{
    NodeError, Settings as NodeSettings, init_log as init_node_log, run as run_node_until_signal,
};
use tokio::runtime::{Builder, Runtime};

/// Threads of a node. Its instances have a quarter of one core; more threads only wake each
/// other.
const NODE_THREADS: u16 = 1;

/// Why a program ends with an error.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error(transparent)]
    Entry(#[from] StartError),
    #[error(transparent)]
    Node(#[from] NodeError),
}

/// Entry instance of cactuswheel
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Mode {
    /// Run a small fleet in this process, for a first look
    Embedded {
        /// Run stand-ins, two upstreams and an entry on loopback, all in this process
        #[bpaf(long("embedded"), req_flag(()))]
        _embedded: (),
        /// Loopback address to listen on
        #[bpaf(
            argument("IP"),
            fallback(IpAddr::V4(Ipv4Addr::LOCALHOST)),
            guard(IpAddr::is_loopback, "not a loopback address")
        )]
        host: IpAddr,
    },
    /// Run a node on the platform
    Node {
        /// Schedule jobs on the platform's workers; settings are those of a node
        #[bpaf(long("node"), req_flag(()))]
        _node: (),
        /// Say whether the settings are usable, without starting
        check: bool,
        /// Settings file, JSON
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Run an entry instance
    Entry {
        /// Say whether the settings are usable, without starting
        check: bool,
        /// Settings file, JSON
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
}

fn main() -> ExitCode {
    match run(mode().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("cactuswheeld: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(mode: Mode) -> Result<(), Failure> {
    let (check, path) = match mode {
        Mode::Embedded { host, .. } => {
            let embedded = run_embedded(host);
            return Ok(runtime(Limits::default().threads)?.block_on(embedded)?);
        }
        Mode::Node {
            check, settings, ..
        } => return run_node(check, settings),
        Mode::Entry { check, settings } => (check, settings),
    };
    let settings = Settings::load(&path).map_err(StartError::from)?;
    if check {
        println!("{}: usable", path.display());
        return Ok(());
    }
    Ok(runtime(settings.limits.threads)?.block_on(serve(settings))?)
}

fn run_node(check: bool, path: PathBuf) -> Result<(), Failure> {
    let settings = NodeSettings::load(&path).map_err(NodeError::from)?;
    if check {
        println!("{}: usable", path.display());
        return Ok(());
    }
    init_node_log()?;
    Ok(runtime(NODE_THREADS)?.block_on(run_node_until_signal(path, settings))?)
}

/// Every thread keeps memory of its own for what it allocates, so their number is a setting.
fn runtime(threads: u16) -> Result<Runtime, StartError> {
    Builder::new_multi_thread()
        .worker_threads(threads.into())
        .enable_all()
        .build()
        .map_err(StartError::Runtime)
}

async fn serve(settings: Settings) -> Result<(), StartError> {
    init_log(settings.log.level)?;
    let node = Node::start(settings).await?;
    println!("ready {}", node.callers());
    node.run_until_signal().await
}
