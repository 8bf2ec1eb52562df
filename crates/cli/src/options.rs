//! Command line options.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// Where the small fleet's entry listens for operators.
const DEFAULT_ENTRY: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 8081);

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
    /// Operator key; better given in the environment
    #[bpaf(long, argument("KEY"), env("CACTUSWHEEL_KEY"))]
    pub key: String,
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
    /// Where an entry stands
    #[bpaf(command)]
    Status,
    /// The objects in force
    #[bpaf(command)]
    Config,
}

/// What to do with a ticket.
#[derive(Debug, Clone, Bpaf)]
pub enum TicketCommand {
    /// Put a ticket into force
    #[bpaf(command)]
    Apply {
        /// The ticket, JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}
