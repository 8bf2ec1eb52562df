//! `cactuswheeld`: one entry instance, or a whole small fleet in one process.

use std::net::{IpAddr, Ipv4Addr};
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use cactuswheel_daemon::{Node, Settings, StartError, init_log, run_embedded};

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

#[tokio::main]
async fn main() -> ExitCode {
    match run(mode().run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("cactuswheeld: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(mode: Mode) -> Result<(), StartError> {
    let (check, path) = match mode {
        Mode::Embedded { host, .. } => return run_embedded(host).await,
        Mode::Entry { check, settings } => (check, settings),
    };
    let settings = Settings::load(&path)?;
    if check {
        println!("{}: usable", path.display());
        return Ok(());
    }
    init_log(settings.log.level)?;
    let node = Node::start(settings).await?;
    println!("ready {}", node.callers());
    node.run_until_signal().await
}
