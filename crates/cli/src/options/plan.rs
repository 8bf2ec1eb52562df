//! Options of `plan`.

use bpaf::Bpaf;

/// What to do with plans of moves between pools.
#[derive(Debug, Clone, Bpaf)]
pub enum PlanCommand {
    /// Show which instances would be moved now, and moves under way
    #[bpaf(command)]
    Show,
    /// Have the moves carried out, within the budgets
    #[bpaf(command)]
    Apply,
}
