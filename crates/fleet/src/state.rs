//! The state that the log folds to.

use std::sync::Arc;

use cactuswheel_model::{
    Code, Disruption, JobEvent, Offset, Record, Refusal, SnapshotMark, Ticket,
};
use serde::{Deserialize, Serialize};

use crate::{Audit, Config, Disruptions, Jobs, Ledger, Outcome, rules};

/// The fleet as of one offset; copies are cheap.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The offset of the next record to apply.
    ///
    /// Invariant: every record below was applied, in order, once.
    next: Offset,
    config: Config,
    ledger: Ledger,
    #[serde(default)]
    disruptions: Disruptions,
    #[serde(default)]
    jobs: Jobs,
    #[serde(default)]
    audit: Audit,
    /// The snapshot with the highest head among those marked complete.
    snapshot: Option<SnapshotMark>,
    /// Records that did not decode.
    undecodable: u64,
}

/// What applying a record did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// A ticket, with the lasting outcome of its number.
    ///
    /// For a number used before with other content the code is [`Code::TicketUsed`].
    Ticket(Arc<Outcome>),
    /// Events of jobs, with what became of each.
    Jobs(Vec<Result<(), Refusal>>),
    /// Word of a snapshot.
    Snapshot,
    /// A step of an outage, with the fence of the outage it belongs to.
    Disruption(Result<Offset, Refusal>),
    /// The wanted moves.
    Moves(Result<(), Refusal>),
    /// A wave's wanted state.
    Wave(Result<(), Refusal>),
    /// A record that does not decode; every node passes over it alike.
    Undecodable(String),
    /// A record below `next`: it is in the state already.
    Old,
}

impl State {
    /// The offset of the next record to apply.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// The objects in force.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The tickets seen.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Jobs and what is placed where.
    pub fn jobs(&self) -> &Jobs {
        &self.jobs
    }

    /// Who changed what, lately.
    pub fn audit(&self) -> &Audit {
        &self.audit
    }

    /// The newest snapshot that was marked complete.
    pub fn snapshot(&self) -> Option<&SnapshotMark> {
        self.snapshot.as_ref()
    }

    /// Number of records that were passed over because they do not decode.
    pub fn undecodable(&self) -> u64 {
        self.undecodable
    }

    /// Outages, planned and not.
    pub fn disruptions(&self) -> &Disruptions {
        &self.disruptions
    }

    /// Applies the record at `offset`, given as text.
    ///
    /// # Panics
    ///
    /// If `offset` lies beyond `next`: a gap would make this node's state its own.
    pub fn apply(&mut self, offset: Offset, body: &str) -> Applied {
        assert!(
            offset <= self.next,
            "gap in the log: {offset} after {}",
            self.next
        );
        if offset < self.next {
            return Applied::Old;
        }
        self.next = offset.next();
        match serde_json::from_str(body) {
            Ok(Record::Ticket(ticket)) => Applied::Ticket(self.apply_ticket(offset, &ticket)),
            Ok(Record::Jobs(events)) => Applied::Jobs(self.apply_jobs(&events)),
            Ok(Record::Snapshot(mark)) => self.apply_mark(mark),
            Ok(Record::Disruption(step)) => {
                Applied::Disruption(self.apply_disruption(offset, &step))
            }
            Ok(Record::Moves(wanted)) => {
                Applied::Moves(self.disruptions.set_moves(&wanted, &self.config))
            }
            Ok(Record::Wave(wave)) => Applied::Wave(self.disruptions.set_wave(&wave)),
            Err(e) => {
                self.undecodable += 1;
                Applied::Undecodable(e.to_string())
            }
        }
    }

    /// A step of an outage; the action itself waits for the jobs on the instance.
    ///
    /// Failure: a reboot under a job that may not be repeated loses its outcome for good. A
    /// drain keeps new jobs away, so the commit only has to wait for those that are there.
    fn apply_disruption(&mut self, offset: Offset, step: &Disruption) -> Result<Offset, Refusal> {
        let placed = self.jobs.worker(step.instance()).map_or(0, |w| w.placed);
        if matches!(step, Disruption::Commit { .. }) && placed > 0 {
            let detail = format!("{placed} jobs are placed on {}", step.instance());
            return Err(Refusal::new(Code::WrongStage).with_detail(detail));
        }
        self.disruptions.apply(offset, step, &mut self.config)
    }

    fn apply_jobs(&mut self, events: &[JobEvent]) -> Vec<Result<(), Refusal>> {
        events
            .iter()
            .map(|e| self.jobs.apply(e, &self.config, &self.disruptions))
            .collect()
    }

    /// A paused writer marks an old snapshot late; the newest stays the one that counts.
    fn apply_mark(&mut self, mark: SnapshotMark) -> Applied {
        let newest = self.snapshot.as_ref().map(|s| s.head);
        if newest.is_none_or(|newest| newest < mark.head) {
            self.snapshot = Some(mark);
        }
        Applied::Snapshot
    }

    fn apply_ticket(&mut self, offset: Offset, ticket: &Ticket) -> Arc<Outcome> {
        let digest = ticket.digest();
        let outcome = |refusal: Refusal| Outcome {
            ticket: ticket.ticket,
            offset,
            digest,
            code: refusal.code,
            detail: refusal.detail,
        };
        if let Some(first) = self.ledger.outcome(ticket.ticket) {
            // An append whose answer was lost is sent again: same content, first result.
            if first.digest == digest {
                return first.clone();
            }
            let detail = format!("used at offset {}", first.offset);
            let refused = outcome(Refusal::new(Code::TicketUsed).with_detail(detail));
            return self.refuse(ticket, refused);
        }
        if self.ledger.is_forgotten(ticket.ticket) {
            let detail = "its number is below all that are remembered";
            let refused = outcome(Refusal::new(Code::TicketStale).with_detail(detail));
            return self.refuse(ticket, refused);
        }
        let outcome = match self.next_config(ticket) {
            Ok(next) => self.accept(ticket, outcome(Refusal::new(Code::Ok)), next),
            Err(refusal) => self.refuse(ticket, outcome(refusal)),
        };
        self.ledger.record(outcome.clone());
        outcome
    }

    fn next_config(&self, ticket: &Ticket) -> Result<Config, Refusal> {
        rules::check_order(ticket, &self.ledger)?;
        let mut next = self.config.clone();
        ticket.changes.iter().for_each(|c| next.set(c));
        rules::check_sense(ticket, &self.config, &next)?;
        self.disruptions.check_ticket(ticket, &self.config, &next)?;
        Ok(next)
    }

    fn accept(&mut self, ticket: &Ticket, outcome: Outcome, next: Config) -> Arc<Outcome> {
        self.audit.accept(ticket, &outcome, &self.config, &next);
        self.disruptions.follow_ticket(ticket, &self.config, &next);
        self.config = next;
        for change in &ticket.changes {
            self.ledger.touch(change.object(), ticket.ticket);
        }
        Arc::new(outcome)
    }

    fn refuse(&mut self, ticket: &Ticket, outcome: Outcome) -> Arc<Outcome> {
        self.audit.refuse(ticket, &outcome);
        Arc::new(outcome)
    }
}
