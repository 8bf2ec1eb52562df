//! Options of `maintenance` and `plan`.

use bpaf::Bpaf;
use cactuswheel_model::DcId;

/// What to do with maintenance waves.
#[derive(Debug, Clone, Bpaf)]
pub enum MaintenanceCommand {
    /// Show the newest wave, what is under way and why the rest waits
    #[bpaf(command)]
    Show,
    /// Begin the next wave
    #[bpaf(command)]
    Start {
        /// Drop what is left of the newest wave
        force: bool,
        /// Data centres to go first, in this order
        #[bpaf(positional("DC"))]
        order: Vec<DcId>,
    },
    /// Start no more reboots
    #[bpaf(command)]
    Pause,
    /// Go on
    #[bpaf(command)]
    Resume,
    /// Put data centres first
    #[bpaf(command)]
    Reorder {
        /// Data centres to go first, in this order
        #[bpaf(positional("DC"))]
        order: Vec<DcId>,
    },
}

/// What to do with the assignment of instances to pools.
#[derive(Debug, Clone, Bpaf)]
pub enum PlanCommand {
    /// Show what would move now and why, what is missing, and the moves under way
    #[bpaf(command)]
    Show,
    /// Have these moves carried out
    #[bpaf(command)]
    Apply,
}
