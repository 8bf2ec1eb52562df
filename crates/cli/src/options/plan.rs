//! Options of `plan`.

use bpaf::Bpaf;

/// Commands on plans to move instances between pools.
#[derive(Debug, Clone, Bpaf)]
pub enum PlanCommand {
    /// Show which instances would be moved now, and the moves in progress
    #[bpaf(command)]
    Show,
    /// Carry the planned moves out, within the availability budgets
    #[bpaf(command)]
    Apply,
}
