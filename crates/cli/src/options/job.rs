//! Options of `job`.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use cactuswheel_model::JobName;

use super::parse_addr;

/// Default of `--callers`: the callers' address of the embedded fleet's entry.
const DEFAULT_CALLERS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 8080);

/// Entry, team key and command for a team's jobs.
#[derive(Debug, Clone, Bpaf)]
pub struct JobOptions {
    /// Callers' address of any entry
    #[bpaf(
        long,
        env("CACTUSWHEEL_CALLERS"),
        argument::<String>("ADDR"),
        parse(parse_addr),
        fallback(DEFAULT_CALLERS)
    )]
    pub callers: SocketAddr,
    /// Team key; prefer the environment variable CACTUSWHEEL_TEAM_KEY, which other users cannot
    /// see
    #[bpaf(long, argument("KEY"), optional)]
    pub team_key: Option<String>,
    /// Command to run
    #[bpaf(external(job_command))]
    pub command: JobCommand,
}

/// Commands on jobs.
#[derive(Debug, Clone, Bpaf)]
pub enum JobCommand {
    /// Submit a job; submitting the same name again has no further effect
    #[bpaf(command)]
    Submit {
        /// Job specification, JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show the state of a job
    #[bpaf(command)]
    Show {
        /// Name of the job
        #[bpaf(positional("NAME"))]
        name: JobName,
    },
    /// Cancel jobs
    #[bpaf(command)]
    Cancel {
        /// Names of the jobs
        #[bpaf(positional("NAME"), some("at least one NAME"))]
        names: Vec<JobName>,
    },
}
