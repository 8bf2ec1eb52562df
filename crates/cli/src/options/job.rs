//! Options of `job`.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use cactuswheel_model::JobName;

use super::parse_addr;

/// Where the small fleet's entry listens for callers.
const DEFAULT_CALLERS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 8080);

/// A team's access to its jobs.
#[derive(Debug, Clone, Bpaf)]
pub struct JobOptions {
    /// Address for callers of any entry
    #[bpaf(
        long,
        env("CACTUSWHEEL_CALLERS"),
        argument::<String>("ADDR"),
        parse(parse_addr),
        fallback(DEFAULT_CALLERS)
    )]
    pub callers: SocketAddr,
    /// Team key; better given as CACTUSWHEEL_TEAM_KEY in the environment, where others do not
    /// see it
    #[bpaf(long, argument("KEY"), optional)]
    pub team_key: Option<String>,
    /// What to do
    #[bpaf(external(job_command))]
    pub command: JobCommand,
}

/// What to do with jobs.
#[derive(Debug, Clone, Bpaf)]
pub enum JobCommand {
    /// Hand a job in; the same name again has no further effect
    #[bpaf(command)]
    Submit {
        /// The job, JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show where a job stands
    #[bpaf(command)]
    Show {
        /// Its name
        #[bpaf(positional("NAME"))]
        name: JobName,
    },
    /// Cancel jobs
    #[bpaf(command)]
    Cancel {
        /// Their names
        #[bpaf(positional("NAME"), some("at least one NAME"))]
        names: Vec<JobName>,
    },
}
