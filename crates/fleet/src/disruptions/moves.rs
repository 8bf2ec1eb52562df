//! The rules for wanted moves of instances between pools.

use cactuswheel_model::{Code, Instance, InstanceId, Moves, PoolId, Refusal, Set, WantedMove};

use super::steps::refuse;
use super::{Disruptions, room};
use crate::Config;

/// Maximum number of moves in one list.
const MAX_MOVES: usize = 10_000;

impl Disruptions {
    /// Replaces the list of wanted moves, or refuses the new list as a whole.
    pub(crate) fn set_moves(&mut self, list: &Moves, config: &Config) -> Result<(), Refusal> {
        if list.moves.len() > MAX_MOVES {
            let detail = format!("{} moves, takes {MAX_MOVES}", list.moves.len());
            return Err(refuse(Code::BadTicket, detail));
        }
        let mut seen = Set::default();
        for wanted in &list.moves {
            check_move(wanted, config)?;
            if !seen.insert(&wanted.instance) {
                let detail = format!("{} is named twice", wanted.instance);
                return Err(refuse(Code::BadTicket, detail));
            }
        }
        self.wanted_moves = list.moves.clone();
        Ok(())
    }

    /// Moves that are wanted and not committed yet, in the order of the list.
    pub fn wanted_moves(&self) -> &[WantedMove] {
        &self.wanted_moves
    }

    /// Refuses a move that would leave its pool too small for its demand or its disruption
    /// budgets.
    pub fn check_leaving(
        &self,
        instance: &InstanceId,
        pool: &PoolId,
        config: &Config,
    ) -> Result<(), Refusal> {
        room::check_leaving(instance, pool, config, self)
    }

    /// Refuses a move that is not in the current list.
    ///
    /// A driver that was paused may still propose a move of an older list; without this check, the
    /// instance would go to a pool where no operator wants it any more.
    pub(super) fn check_wanted(
        &self,
        instance: &Instance,
        from: &PoolId,
        to: &PoolId,
        config: &Config,
    ) -> Result<(), Refusal> {
        let wanted = self.wanted_moves.iter().find(|w| w.instance == instance.id);
        if wanted.is_none_or(|w| w.from != *from || w.to != *to) {
            let detail = format!("no move of {} from {from} to {to} is wanted", instance.id);
            return Err(refuse(Code::GrantStale, detail));
        }
        if instance.pool != *from {
            let detail = format!("it is in pool {}", instance.pool);
            return Err(refuse(Code::GrantStale, detail));
        }
        if !config.pools.contains(to) {
            return Err(refuse(Code::MissingReference, format!("pool {to}")));
        }
        room::check_leaving(&instance.id, from, config, self)
    }

    /// Removes the move of an instance from the list.
    pub(super) fn drop_move(&mut self, id: &InstanceId) {
        self.wanted_moves.retain(|w| w.instance != *id);
    }
}

fn check_move(wanted: &WantedMove, config: &Config) -> Result<(), Refusal> {
    let instance = config.instances.get(&wanted.instance);
    if instance.is_none_or(|i| i.pool != wanted.from) || wanted.from == wanted.to {
        let detail = format!("{} is not in pool {}", wanted.instance, wanted.from);
        return Err(refuse(Code::GrantStale, detail));
    }
    if !config.pools.contains(&wanted.to) {
        return Err(refuse(
            Code::MissingReference,
            format!("pool {}", wanted.to),
        ));
    }
    Ok(())
}
