//! Options of `maintenance`.

use bpaf::Bpaf;
use cactuswheel_model::DcId;

/// Commands on maintenance waves.
#[derive(Debug, Clone, Bpaf)]
pub enum MaintenanceCommand {
    /// Show the newest wave, outages in progress and why the other instances wait
    #[bpaf(command)]
    Show,
    /// Start the next wave, which reboots every instance within the availability budgets
    #[bpaf(command)]
    Start {
        /// Abandon the rest of the newest wave if it is not complete
        force: bool,
        /// Data centres that come first, separated by commas
        #[bpaf(argument::<String>("DC,.."), parse(parse_dcs), fallback(Vec::new()))]
        order: Vec<DcId>,
    },
    /// Start no further outages; those in progress complete
    #[bpaf(command)]
    Pause,
    /// Resume a paused wave
    #[bpaf(command)]
    Resume,
    /// Change which data centres come first
    #[bpaf(command)]
    Reorder {
        /// Data centres that come first, separated by commas
        #[bpaf(positional::<String>("DC,.."), parse(parse_dcs))]
        order: Vec<DcId>,
    },
}

fn parse_dcs(text: String) -> Result<Vec<DcId>, String> {
    let parse = |s: &str| s.trim().parse().map_err(|e| format!("{e}"));
    text.split(',').map(parse).collect()
}
