//! Options of `ticket`.

use std::path::PathBuf;

use bpaf::Bpaf;
use cactuswheel_model::TicketNo;

use super::DEFAULT_MAX_ROWS;
use super::wait::{WaitOptions, wait_options};

/// What to do with tickets.
#[derive(Debug, Clone, Bpaf)]
pub enum TicketCommand {
    /// Say whether tickets are well formed, without an entry
    #[bpaf(command)]
    Validate {
        /// Tickets, JSON, in the order in which they will be put in
        #[bpaf(positional("FILE"), some("at least one FILE"))]
        files: Vec<PathBuf>,
    },
    /// Say what a ticket would come to now, without putting it in
    #[bpaf(command)]
    Check {
        /// The ticket, JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Compare a ticket with what is in force
    #[bpaf(command)]
    Diff {
        /// The ticket, JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Put a ticket into force
    #[bpaf(command)]
    Apply {
        /// How to wait for the other entries
        #[bpaf(external(wait_options))]
        wait: WaitOptions,
        /// The ticket, JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show what came of a ticket
    #[bpaf(command)]
    Show {
        /// Its number
        #[bpaf(positional("NUMBER"))]
        number: TicketNo,
    },
    /// Show what came of the newest tickets
    #[bpaf(command)]
    History {
        /// Most rows
        #[bpaf(argument("N"), fallback(DEFAULT_MAX_ROWS))]
        max: usize,
    },
    /// Print the next free number
    #[bpaf(command)]
    Next,
}
