//! Command line options.

mod job;
mod key;
mod ticket;
mod wait;

use std::net::SocketAddr;

use bpaf::Bpaf;
use cactuswheel_model::{ObjectId, PoolId};

use self::job::job_options;
pub use self::job::{JobCommand, JobOptions};
pub use self::key::KeyCommand;
use self::key::key_command;
pub use self::ticket::TicketCommand;
use self::ticket::ticket_command;
pub use self::wait::WaitOptions;

/// Where the small fleet's entry listens for operators.
const DEFAULT_ENTRY: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 8081);

/// Rows of a history unless told otherwise.
const MAX: usize = 20;

/// Operate a cactuswheel fleet
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Admin address of any entry
    #[bpaf(
        long,
        argument("ADDR"),
        env("CACTUSWHEEL_ENTRY"),
        fallback(DEFAULT_ENTRY)
    )]
    pub entry: SocketAddr,
    /// Operator key; give it in the environment, where other users do not see it
    #[bpaf(long, argument("KEY"), env("CACTUSWHEEL_KEY"), optional)]
    pub key: Option<String>,
    /// Print JSON instead of tables
    #[bpaf(long)]
    pub json: bool,
    /// What to do
    #[bpaf(external)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Change tickets
    #[bpaf(command)]
    Ticket(#[bpaf(external(ticket_command))] TicketCommand),
    /// Keys of teams
    #[bpaf(command, long("keys"))]
    Key(#[bpaf(external(key_command))] KeyCommand),
    /// Jobs of a team; takes the team's key
    #[bpaf(command, long("jobs"))]
    Job(#[bpaf(external(job_options))] JobOptions),
    /// Where entries stand
    #[bpaf(command)]
    Status {
        /// Admin addresses of more entries, with commas between
        #[bpaf(argument::<String>("ADDR,.."), parse(parse_addrs), fallback(Vec::new()))]
        entries: Vec<SocketAddr>,
    },
    /// Pools, their sizes and the demand on them
    #[bpaf(command)]
    Pools,
    /// Instances as described and as the platform sees them
    #[bpaf(command)]
    Instances {
        /// Only those of one pool
        #[bpaf(argument("POOL"), optional)]
        pool: Option<PoolId>,
    },
    /// Teams, their shares and upper limits
    #[bpaf(command)]
    Teams,
    /// Services and their pools
    #[bpaf(command)]
    Services,
    /// Availability budgets and what is left of them
    #[bpaf(command)]
    Budgets,
    /// Data centres
    #[bpaf(command)]
    Dcs,
    /// Who changed what, and what came of it
    #[bpaf(command)]
    Audit {
        /// Only those on one object, such as pool/render
        #[bpaf(argument("KIND/NAME"), optional)]
        object: Option<ObjectId>,
        /// Most rows
        #[bpaf(argument("N"), fallback(MAX))]
        max: usize,
    },
    /// All objects in force, as JSON
    #[bpaf(command)]
    Config,
}

/// Reads addresses with commas between them.
pub(crate) fn parse_addrs(text: String) -> Result<Vec<SocketAddr>, String> {
    let parse = |s: &str| {
        s.trim()
            .parse()
            .map_err(|_| format!("`{s}` is not an IP number with a port, such as 10.0.0.1:8081"))
    };
    text.split(',').map(parse).collect()
}
