//! Options of `maintenance`.

use bpaf::Bpaf;
use cactuswheel_model::DcId;

/// What to do with maintenance waves.
#[derive(Debug, Clone, Bpaf)]
pub enum MaintenanceCommand {
    /// Show the newest wave, outages under way and why the rest waits
    #[bpaf(command)]
    Show,
    /// Begin the next wave: every instance has its turn within the budgets
    #[bpaf(command)]
    Start {
        /// Drop what is left of the newest wave
        force: bool,
        /// Data centres that come first, with commas between
        #[bpaf(argument::<String>("DC,.."), parse(parse_dcs), fallback(Vec::new()))]
        order: Vec<DcId>,
    },
    /// Begin no more outages; those under way end
    #[bpaf(command)]
    Pause,
    /// Go on
    #[bpaf(command)]
    Resume,
    /// Put other data centres first
    #[bpaf(command)]
    Reorder {
        /// Data centres that come first, with commas between
        #[bpaf(positional::<String>("DC,.."), parse(parse_dcs))]
        order: Vec<DcId>,
    },
}

fn parse_dcs(text: String) -> Result<Vec<DcId>, String> {
    let parse = |s: &str| s.trim().parse().map_err(|e| format!("{e}"));
    text.split(',').map(parse).collect()
}
