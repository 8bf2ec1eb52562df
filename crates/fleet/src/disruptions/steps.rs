//! The rules for each step of an outage.

use cactuswheel_model::{
    Code, Disruption, Incarnation, Instance, InstanceId, Offset, Purpose, Refusal,
};

use super::{Disruptions, Outage, Stage};
use crate::Config;

impl Disruptions {
    /// Applies a step; returns the fencing token of the outage that it belongs to.
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
        self.check_incarnation(&instance.id, incarnation)?;
        if let Some(outage) = self.outage(&instance.id) {
            // A client that got no answer appends the step again: it gets the fencing token of the
            // first.
            let same = outage.incarnation == incarnation
                && matches!(&outage.stage, Stage::Draining(p) if p == purpose);
            return match same {
                true => Ok(outage.fence),
                false => Err(refuse(
                    Code::InstanceHeld,
                    format!("since {}", outage.fence),
                )),
            };
        }
        match purpose {
            Purpose::Reboot(wave) => self.check_wave(&instance.id, *wave)?,
            Purpose::Move { from, to } => self.check_wanted(instance, from, to, config)?,
        }
        let budget = self.budget(&instance.pool, config);
        if !budget.has_room() {
            return Err(refuse(Code::BudgetFull, budget.describe(&instance.pool)));
        }
        self.record_incarnation(&instance.id, incarnation);
        self.outages.insert(
            instance.id.clone(),
            Outage {
                instance: instance.id.clone(),
                fence: offset,
                incarnation,
                stage: Stage::Draining(purpose.clone()),
            },
        );
        Ok(offset)
    }

    /// Allows the action to start.
    ///
    /// Between grant and commit, losses may be reported or an operator may pause the wave; without
    /// another check, a reboot would start in a pool that already has too few members. The budget
    /// is therefore checked again here, with this outage included, and a driver acts only on a
    /// commit that it has read back from the log. A commit cannot be cancelled, so whoever has
    /// read it may act any time later.
    fn commit(
        &mut self,
        instance: &Instance,
        fence: Offset,
        config: &mut Config,
    ) -> Result<Offset, Refusal> {
        let outage = self.outage_by_fence(&instance.id, fence)?.clone();
        let Stage::Draining(purpose) = &outage.stage else {
            return match outage.stage {
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
                self.check_wave(&instance.id, *wave)?;
                Stage::Rebooting(*wave)
            }
            Purpose::Move { from, to } => {
                self.check_wanted(instance, from, to, config)?;
                self.drop_move(&instance.id);
                let moved = Instance {
                    pool: to.clone(),
                    ..instance.clone()
                };
                config.instances.insert(instance.id.clone(), moved);
                Stage::Arriving
            }
        };
        self.outages
            .insert(instance.id.clone(), Outage { stage, ..outage });
        Ok(fence)
    }

    fn cancel(
        &mut self,
        offset: Offset,
        id: &InstanceId,
        fence: Offset,
        busy: bool,
    ) -> Result<Offset, Refusal> {
        let outage = self.outage_by_fence(id, fence)?;
        if !matches!(outage.stage, Stage::Draining(_)) {
            return Err(refuse(Code::WrongStage, "committed".to_owned()));
        }
        self.outages.remove(id);
        if busy {
            self.deferred.insert(id.clone(), offset);
        }
        Ok(fence)
    }

    /// Ends an outage.
    ///
    /// After a reboot the instance has a higher incarnation; seen with the old one, it may simply
    /// not have gone down yet.
    fn back(
        &mut self,
        id: &InstanceId,
        fence: Offset,
        incarnation: Incarnation,
    ) -> Result<Offset, Refusal> {
        let outage = self.outage_by_fence(id, fence)?.clone();
        let ended = match outage.stage {
            Stage::Draining(_) | Stage::Rebooting(_) => incarnation > outage.incarnation,
            Stage::Arriving | Stage::Lost => incarnation >= outage.incarnation,
        };
        if !ended {
            let detail = format!("{incarnation} seen, {} went down", outage.incarnation);
            return Err(refuse(Code::GrantStale, detail));
        }
        if let Stage::Rebooting(wave) | Stage::Draining(Purpose::Reboot(wave)) = outage.stage {
            self.last_waves.insert(id.clone(), wave);
        }
        self.record_incarnation(id, incarnation);
        self.outages.remove(id);
        self.deferred.remove(id);
        Ok(fence)
    }

    /// Records a loss. Budgets do not apply to losses, but losses count in the budgets of later
    /// planned outages.
    fn lost(
        &mut self,
        offset: Offset,
        id: &InstanceId,
        incarnation: Incarnation,
    ) -> Result<Offset, Refusal> {
        self.check_incarnation(id, incarnation)?;
        if let Some(outage) = self.outage(id) {
            // A loss replaces an outage that is still draining. In the other stages the current
            // outage stays: it counts already, or, while arriving, needs to be seen healthy before
            // it counts as a member.
            if !matches!(outage.stage, Stage::Draining(_)) {
                return Ok(outage.fence);
            }
        }
        self.record_incarnation(id, incarnation);
        self.outages.insert(
            id.clone(),
            Outage {
                instance: id.clone(),
                fence: offset,
                incarnation,
                stage: Stage::Lost,
            },
        );
        Ok(offset)
    }

    fn outage_by_fence(&self, id: &InstanceId, fence: Offset) -> Result<&Outage, Refusal> {
        match self.outage(id) {
            Some(outage) if outage.fence == fence => Ok(outage),
            Some(outage) => Err(refuse(
                Code::GrantStale,
                format!("{fence} named, {} holds", outage.fence),
            )),
            None => Err(refuse(
                Code::GrantStale,
                format!("{fence} named, none holds"),
            )),
        }
    }

    fn check_incarnation(&self, id: &InstanceId, incarnation: Incarnation) -> Result<(), Refusal> {
        let known = self.last_incarnation(id);
        if incarnation >= known {
            return Ok(());
        }
        let detail = format!("incarnation {incarnation} named, {known} known");
        Err(refuse(Code::GrantStale, detail))
    }

    fn record_incarnation(&mut self, id: &InstanceId, incarnation: Incarnation) {
        if incarnation > self.last_incarnation(id) {
            self.incarnations.insert(id.clone(), incarnation);
        }
    }
}

pub(super) fn refuse(code: Code, detail: String) -> Refusal {
    Refusal::new(code).with_detail(detail)
}
