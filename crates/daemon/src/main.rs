//! `cactuswheeld`: one entry instance, or a whole small fleet in one process.

use std::net::{IpAddr, Ipv4Addr};
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use cactuswheel_daemon::{Limits, Node, Settings, StartError, init_log, run_embedded};
use tokio::runtime::{Builder, Runtime};

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

fn run(mode: Mode) -> Result<(), StartError> {
    let (check, path) = match mode {
        Mode::Embedded { host, .. } => {
            return runtime(Limits::default().threads)?.block_on(run_embedded(host));
        }
        Mode::Entry { check, settings } => (check, settings),
    };
    let settings = Settings::load(&path)?;
    if check {
        println!("{}: usable", path.display());
        return Ok(());
    }
    runtime(settings.limits.threads)?.block_on(serve(settings))
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
