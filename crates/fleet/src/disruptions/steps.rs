//! The rules for each step of an outage.

use cactuswheel_model::{
    Code, Disruption, Incarnation, Instance, InstanceId, Offset, Purpose, Refusal,
};

use super::{Disruptions, Hold, Stage};
use crate::Config;

impl Disruptions {
    /// Applies a step; the result is the fence of the outage it belongs to.
    pub(crate) fn apply(
        &mut self,
        offset: Offset,
        step: &Disruption,
        config: &mut Config,
    ) -> Result<Offset, Refusal> {
        let id = step.instance();
        let Some(instance) = config.instances.get(id).cloned() else {
            return Err(refuse(Code::NotFound, format!("instance {id}")));
        };
        match step {
            Disruption::Take {
                incarnation,
                purpose,
                ..
            } => self.take(offset, &instance, *incarnation, purpose, config),
            Disruption::Commit { fence, .. } => self.commit(&instance, *fence, config),
            Disruption::Cancel { fence, busy, .. } => self.cancel(offset, id, *fence, *busy),
            Disruption::Back {
                fence, incarnation, ..
            } => self.back(id, *fence, *incarnation),
            Disruption::Lost { incarnation, .. } => self.lost(offset, id, *incarnation),
        }
    }

    fn take(
        &mut self,
        offset: Offset,
        instance: &Instance,
        incarnation: Incarnation,
        purpose: &Purpose,
        config: &Config,
    ) -> Result<Offset, Refusal> {
        self.check_life(&instance.id, incarnation)?;
        if let Some(hold) = self.hold(&instance.id) {
            // An append whose answer was lost is sent again: same grant, first fence.
            let same = hold.incarnation == incarnation
                && matches!(&hold.stage, Stage::Draining(p) if p == purpose);
            return match same {
                true => Ok(hold.fence),
                false => Err(refuse(Code::InstanceHeld, format!("since {}", hold.fence))),
            };
        }
        match purpose {
            Purpose::Reboot(wave) => self.check_turn(&instance.id, *wave)?,
            Purpose::Move { from, to } => self.check_wanted(instance, from, to, config)?,
        }
        let budget = self.budget(&instance.pool, config);
        if !budget.has_room() {
            return Err(refuse(Code::BudgetFull, budget.describe(&instance.pool)));
        }
        self.learn(&instance.id, incarnation);
        self.holds.insert(
            instance.id.clone(),
            Hold {
                instance: instance.id.clone(),
                fence: offset,
                incarnation,
                stage: Stage::Draining(purpose.clone()),
            },
        );
        Ok(offset)
    }

    /// Lets the action happen.
    ///
    /// Failure: losses are reported between grant and action, or the operator pauses the
    /// wave; symptom: a reboot starts in a pool that is short already. The budget is judged
    /// again here, with the grant counted, and a driver acts only on a commit that it has
    /// read back. A commit cannot be cancelled, so whoever holds it may act after any time.
    fn commit(
        &mut self,
        instance: &Instance,
        fence: Offset,
        config: &mut Config,
    ) -> Result<Offset, Refusal> {
        let hold = self.named(&instance.id, fence)?.clone();
        let Stage::Draining(purpose) = &hold.stage else {
            return match hold.stage {
                Stage::Lost => Err(Refusal::new(Code::WrongStage)),
                _ => Ok(fence),
            };
        };
        let budget = self.budget(&instance.pool, config);
        if budget.excess(0).is_some() {
            return Err(refuse(Code::BudgetFull, budget.describe(&instance.pool)));
        }
        let stage = match purpose {
            Purpose::Reboot(wave) => {
                self.check_turn(&instance.id, *wave)?;
                Stage::Rebooting(*wave)
            }
            Purpose::Move { from, to } => {
                self.check_wanted(instance, from, to, config)?;
                self.drop_wish(&instance.id);
                let moved = Instance {
                    pool: to.clone(),
                    ..instance.clone()
                };
                config.instances.insert(instance.id.clone(), moved);
                Stage::Arriving
            }
        };
        self.holds
            .insert(instance.id.clone(), Hold { stage, ..hold });
        Ok(fence)
    }

    fn cancel(
        &mut self,
        offset: Offset,
        id: &InstanceId,
        fence: Offset,
        busy: bool,
    ) -> Result<Offset, Refusal> {
        let hold = self.named(id, fence)?;
        if !matches!(hold.stage, Stage::Draining(_)) {
            return Err(refuse(Code::WrongStage, "committed".to_owned()));
        }
        self.holds.remove(id);
        if busy {
            self.deferred.insert(id.clone(), offset);
        }
        Ok(fence)
    }

    /// Ends an outage.
    ///
    /// A reboot has ended only in a later life: the old one may just not have gone down yet.
    fn back(
        &mut self,
        id: &InstanceId,
        fence: Offset,
        incarnation: Incarnation,
    ) -> Result<Offset, Refusal> {
        let hold = self.named(id, fence)?.clone();
        let ended = match hold.stage {
            Stage::Draining(_) | Stage::Rebooting(_) => incarnation > hold.incarnation,
            Stage::Arriving | Stage::Lost => incarnation >= hold.incarnation,
        };
        if !ended {
            let detail = format!("{incarnation} seen, {} went down", hold.incarnation);
            return Err(refuse(Code::GrantStale, detail));
        }
        if let Stage::Rebooting(wave) | Stage::Draining(Purpose::Reboot(wave)) = hold.stage {
            self.turns.insert(id.clone(), wave);
        }
        self.learn(id, incarnation);
        self.holds.remove(id);
        self.deferred.remove(id);
        Ok(fence)
    }

    /// Records a loss. Budgets do not bind it; they bind what is planned after it.
    fn lost(
        &mut self,
        offset: Offset,
        id: &InstanceId,
        incarnation: Incarnation,
    ) -> Result<Offset, Refusal> {
        self.check_life(id, incarnation)?;
        if let Some(hold) = self.hold(id) {
            // A drain that has not been committed ends here; all else is counted already, or
            // counts nothing until it is seen healthy.
            if !matches!(hold.stage, Stage::Draining(_)) {
                return Ok(hold.fence);
            }
        }
        self.learn(id, incarnation);
        self.holds.insert(
            id.clone(),
            Hold {
                instance: id.clone(),
                fence: offset,
                incarnation,
                stage: Stage::Lost,
            },
        );
        Ok(offset)
    }

    fn named(&self, id: &InstanceId, fence: Offset) -> Result<&Hold, Refusal> {
        match self.hold(id) {
            Some(hold) if hold.fence == fence => Ok(hold),
            Some(hold) => Err(refuse(
                Code::GrantStale,
                format!("{fence} named, {} holds", hold.fence),
            )),
            None => Err(refuse(
                Code::GrantStale,
                format!("{fence} named, none holds"),
            )),
        }
    }

    fn check_life(&self, id: &InstanceId, incarnation: Incarnation) -> Result<(), Refusal> {
        let known = self.life(id);
        if incarnation >= known {
            return Ok(());
        }
        let detail = format!("incarnation {incarnation} named, {known} known");
        Err(refuse(Code::GrantStale, detail))
    }

    fn learn(&mut self, id: &InstanceId, incarnation: Incarnation) {
        if incarnation > self.life(id) {
            self.lives.insert(id.clone(), incarnation);
        }
    }
}

pub(super) fn refuse(code: Code, detail: String) -> Refusal {
    Refusal::new(code).with_detail(detail)
}
