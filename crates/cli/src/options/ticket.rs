//! Options of `ticket`.

use std::path::PathBuf;

use bpaf::Bpaf;
use cactuswheel_model::TicketNo;

use super::DEFAULT_MAX_ROWS;
use super::wait::{WaitOptions, wait_options};

/// Commands on tickets.
#[derive(Debug, Clone, Bpaf)]
pub enum TicketCommand {
    /// Check whether tickets are well formed, without contacting an entry
    #[bpaf(command)]
    Validate {
        /// Tickets, JSON, in the order in which they will be applied
        #[bpaf(positional("FILE"), some("at least one FILE"))]
        files: Vec<PathBuf>,
    },
    /// Show what the outcome of a ticket would be now, without applying it
    #[bpaf(command)]
    Check {
        /// Ticket, JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Compare a ticket with the objects in force
    #[bpaf(command)]
    Diff {
        /// Ticket, JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Apply a ticket
    #[bpaf(command)]
    Apply {
        /// Whether and how to wait for the other entries
        #[bpaf(external(wait_options))]
        wait: WaitOptions,
        /// Ticket, JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show the outcome of a ticket
    #[bpaf(command)]
    Show {
        /// Number of the ticket
        #[bpaf(positional("NUMBER"))]
        number: TicketNo,
    },
    /// Show the outcomes of the newest tickets
    #[bpaf(command)]
    History {
        /// Maximum number of rows
        #[bpaf(argument("N"), fallback(DEFAULT_MAX_ROWS))]
        max: usize,
    },
    /// Print the next free ticket number
    #[bpaf(command)]
    Next,
}
