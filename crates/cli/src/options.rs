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

/// Default of `--entry`: the admin address of the embedded fleet's entry.
const DEFAULT_ENTRY: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 8081);

/// Default limit on the rows of a history or audit listing.
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
    /// Operator key; prefer the environment variable CACTUSWHEEL_KEY, which other users cannot
    /// see
    #[bpaf(long, argument("KEY"), optional)]
    pub key: Option<String>,
    /// Print JSON instead of tables
    #[bpaf(long)]
    pub json: bool,
    /// Command to run
    #[bpaf(external)]
    pub command: Command,
}

/// A command with its options.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Validate, apply and inspect change tickets
    #[bpaf(command)]
    Ticket(#[bpaf(external(ticket_command))] TicketCommand),
    /// List, grant and withdraw team keys
    #[bpaf(command, long("keys"))]
    Key(#[bpaf(external(key_command))] KeyCommand),
    /// Submit, show and cancel a team's jobs; needs the team's key
    #[bpaf(command, long("jobs"))]
    Job(#[bpaf(external(job_options))] JobOptions),
    /// Show and control maintenance waves
    #[bpaf(command)]
    Maintenance(#[bpaf(external(maintenance_command))] MaintenanceCommand),
    /// Show and apply plans to move instances between pools
    #[bpaf(command)]
    Plan(#[bpaf(external(plan_command))] PlanCommand),
    /// Show the state of the node cell; `--entry` takes a node's metrics address
    #[bpaf(command)]
    Cell {
        /// Show this job instead of the whole cell
        #[bpaf(long, argument("ID"), optional)]
        job: Option<String>,
    },
    /// Show the status of entries
    #[bpaf(command)]
    Status {
        /// Admin addresses of further entries, separated by commas
        #[bpaf(argument::<String>("ADDR,.."), parse(parse_addrs), fallback(Vec::new()))]
        entries: Vec<SocketAddr>,
    },
    /// List pools with their sizes and demand
    #[bpaf(command)]
    Pools,
    /// List instances with their configuration and their state on the platform
    #[bpaf(command)]
    Instances {
        /// Only list instances of this pool
        #[bpaf(argument("POOL"), optional)]
        pool: Option<PoolId>,
    },
    /// List teams with their shares and limits
    #[bpaf(command)]
    Teams,
    /// List how each team's limit is divided among the entries
    #[bpaf(command)]
    Allotments,
    /// List services with their pools
    #[bpaf(command)]
    Services,
    /// List availability budgets with their remaining room
    #[bpaf(command)]
    Budgets,
    /// List data centres
    #[bpaf(command)]
    Dcs,
    /// List who changed which object, and the outcome
    #[bpaf(command)]
    Audit {
        /// Only list changes to this object, such as pool/render
        #[bpaf(argument("KIND/NAME"), optional)]
        object: Option<ObjectId>,
        /// Maximum number of rows
        #[bpaf(argument("N"), fallback(DEFAULT_MAX_ROWS))]
        max: usize,
    },
    /// Print all objects in force, as JSON
    #[bpaf(command)]
    Config,
}

/// Parses a comma-separated list of addresses.
pub(crate) fn parse_addrs(text: String) -> Result<Vec<SocketAddr>, String> {
    let addrs = text.split(',').map(|s| parse_addr(s.to_owned()));
    addrs.collect()
}

/// Parses an IP address with a port; host names are rejected.
pub(crate) fn parse_addr(text: String) -> Result<SocketAddr, String> {
    let addr = text.trim().parse();
    addr.map_err(|_| format!("`{text}` is not an IP number with a port, such as 10.0.0.1:8081"))
}
