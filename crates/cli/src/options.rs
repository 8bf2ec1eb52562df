//! Command line options.

mod job;
mod key;
mod maintenance;
mod plan;
mod ticket;
mod wait;

use std::net::SocketAddr;

use bpaf::Bpaf;
use cactuswheel_model::{ObjectId, PoolId};

use self::job::job_options;
pub use self::job::{JobCommand, JobOptions};
pub use self::key::KeyCommand;
use self::key::key_command;
pub use self::maintenance::MaintenanceCommand;
use self::maintenance::maintenance_command;
pub use self::plan::PlanCommand;
use self::plan::plan_command;
pub use self::ticket::TicketCommand;
use self::ticket::ticket_command;
pub use self::wait::WaitOptions;

/// Where the small fleet's entry listens for operators.
const DEFAULT_ENTRY: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 8081);

/// Rows of a history unless told otherwise.
const DEFAULT_MAX_ROWS: usize = 20;

/// Operate a cactuswheel fleet
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Admin address of any entry
    #[bpaf(
        long,
        env("CACTUSWHEEL_ENTRY"),
        argument::<String>("ADDR"),
        parse(parse_addr),
        fallback(DEFAULT_ENTRY)
    )]
    pub entry: SocketAddr,
    /// Operator key; better given as CACTUSWHEEL_KEY in the environment, where others do not
    /// see it
    #[bpaf(long, argument("KEY"), optional)]
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
    /// Maintenance waves
    #[bpaf(command)]
    Maintenance(#[bpaf(external(maintenance_command))] MaintenanceCommand),
    /// Plans of moves between pools
    #[bpaf(command)]
    Plan(#[bpaf(external(plan_command))] PlanCommand),
    /// The cell of nodes on the platform; `--entry` takes a node's metrics address
    #[bpaf(command)]
    Cell {
        /// Tell of this job
        #[bpaf(long, argument("ID"), optional)]
        job: Option<String>,
    },
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
    /// Who holds how much of each team's limit
    #[bpaf(command)]
    Allotments,
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
        #[bpaf(argument("N"), fallback(DEFAULT_MAX_ROWS))]
        max: usize,
    },
    /// All objects in force, as JSON
    #[bpaf(command)]
    Config,
}

/// Reads addresses with commas between them.
pub(crate) fn parse_addrs(text: String) -> Result<Vec<SocketAddr>, String> {
    let addrs = text.split(',').map(|s| parse_addr(s.to_owned()));
    addrs.collect()
}

/// Reads one address.
pub(crate) fn parse_addr(text: String) -> Result<SocketAddr, String> {
    let addr = text.trim().parse();
    addr.map_err(|_| format!("`{text}` is not an IP number with a port, such as 10.0.0.1:8081"))
}
