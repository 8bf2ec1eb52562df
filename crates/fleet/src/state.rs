//! The state of the fleet, built from the log.

use std::sync::Arc;

use cactuswheel_model::{
    Code, Denial, Disruption, JobEvent, ObjectId, Offset, Record, Refusal, SnapshotMark, TeamId,
    Ticket,
};
use serde::{Deserialize, Serialize};

use crate::{Allotments, Audit, Config, Denials, Disruptions, Jobs, Ledger, Outcome, rules};

/// The state of the fleet after all records below one offset; cloning is cheap.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The offset of the next record to apply.
    ///
    /// Invariant: every record below it was applied once, in order.
    next: Offset,
    config: Config,
    ledger: Ledger,
    #[serde(default)]
    denials: Denials,
    #[serde(default)]
    allotments: Allotments,
    #[serde(default)]
    disruptions: Disruptions,
    #[serde(default)]
    jobs: Jobs,
    #[serde(default)]
    audit: Audit,
    /// Among the snapshots marked complete, the one with the highest head.
    snapshot: Option<SnapshotMark>,
    /// Number of records that could not be decoded.
    undecodable: u64,
}

/// The result of applying one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// A ticket, with the final outcome of its number.
    ///
    /// If the number was used before with other content, the code is [`Code::TicketUsed`].
    Ticket(Arc<Outcome>),
    /// A withdrawal of a key outside tickets; `false` if it changed nothing.
    Denial(bool),
    /// A report of an entry about the units that it holds; `false` if it changed nothing.
    Holding(bool),
    /// Job events, with the result of each.
    Jobs(Vec<Result<(), Refusal>>),
    /// A mark that a snapshot is complete.
    Snapshot,
    /// A step of an outage, with the fencing token of its outage.
    Disruption(Result<Offset, Refusal>),
    /// A new list of wanted moves.
    Moves(Result<(), Refusal>),
    /// A new wave or a change to the newest one.
    Wave(Result<(), Refusal>),
    /// A record that cannot be decoded, with the error; every node skips it.
    Undecodable(String),
    /// A record below `next`, which was applied before.
    AlreadyApplied,
}

impl State {
    /// The offset of the next record to apply.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// The configuration in force.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Used ticket numbers and their outcomes.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Keys that were withdrawn outside tickets.
    pub fn denials(&self) -> &Denials {
        &self.denials
    }

    /// How each team's request limit is divided among the entries.
    pub fn allotments(&self) -> &Allotments {
        &self.allotments
    }

    /// Jobs and their placements.
    pub fn jobs(&self) -> &Jobs {
        &self.jobs
    }

    /// The newest rows of the audit trail.
    pub fn audit(&self) -> &Audit {
        &self.audit
    }

    /// The newest snapshot that was marked complete.
    pub fn snapshot(&self) -> Option<&SnapshotMark> {
        self.snapshot.as_ref()
    }

    /// Number of records that were skipped because they could not be decoded.
    pub fn undecodable(&self) -> u64 {
        self.undecodable
    }

    /// Planned and unplanned outages.
    pub fn disruptions(&self) -> &Disruptions {
        &self.disruptions
    }

    /// Applies the record at `offset`, given as JSON.
    ///
    /// # Panics
    ///
    /// If `offset` is above `next`: after a gap, the state of this node would differ from that of
    /// all others.
    pub fn apply(&mut self, offset: Offset, body: &str) -> Applied {
        assert!(
            offset <= self.next,
            "gap in the log: record {offset} received, but offset {} is next",
            self.next
        );
        if offset < self.next {
            return Applied::AlreadyApplied;
        }
        self.next = offset.next();
        match serde_json::from_str(body) {
            Ok(Record::Ticket(ticket)) => Applied::Ticket(self.apply_ticket(offset, &ticket)),
            Ok(Record::Denial(denial)) => Applied::Denial(self.deny(offset, &denial)),
            Ok(Record::Holding(holding)) => {
                Applied::Holding(self.allotments.apply(offset, &holding))
            }
            Ok(Record::Jobs(events)) => Applied::Jobs(self.apply_jobs(offset, &events)),
            Ok(Record::Snapshot(mark)) => self.apply_snapshot_mark(mark),
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

    fn deny(&mut self, at: Offset, denial: &Denial) -> bool {
        if !self.denials.insert(denial) {
            return false;
        }
        let old = self.config.clone();
        self.config.withdraw(&denial.digest);
        self.audit.record_denial(at, denial, &old, &self.config);
        true
    }

    fn apply_jobs(&mut self, at: Offset, events: &[JobEvent]) -> Vec<Result<(), Refusal>> {
        events.iter().map(|e| self.apply_job(at, e)).collect()
    }

    fn apply_job(&mut self, at: Offset, event: &JobEvent) -> Result<(), Refusal> {
        let team = match event {
            JobEvent::Place { job, .. } => {
                self.check_team_limit(&job.team)?;
                Some(&job.team)
            }
            JobEvent::End { job, .. } => Some(&job.team),
            _ => None,
        };
        let result = self.jobs.apply(event, &self.config, &self.disruptions);
        if let Some(team) = team {
            self.update_request_limit(at, team);
        }
        result
    }

    /// Refuses a placement while requests still hold units that a ticket has since reserved for
    /// jobs.
    fn check_team_limit(&self, team: &TeamId) -> Result<(), Refusal> {
        let limit = self.config.teams.get(team).map_or(0, |t| t.limit.get());
        let split = self.allotments.split(team);
        let requests = split.map_or(0, |s| s.occupied());
        if self.jobs.placed(team) + requests < limit {
            return Ok(());
        }
        Err(Refusal::new(Code::TeamLimit))
    }

    /// Sets the limit for requests to what jobs leave of the team's limit. Jobs take the units
    /// reserved for them, or those of the placed jobs if a ticket has reduced the reservation
    /// below that.
    fn update_request_limit(&mut self, at: Offset, team: &TeamId) {
        let placed = self.jobs.placed(team);
        let limit = self.config.teams.get(team).map_or(0, |t| {
            let jobs = t.jobs.get().max(placed);
            t.limit.get().saturating_sub(jobs)
        });
        self.allotments.set_limit(at, team, limit);
    }

    /// Applies a step of an outage; its commit is refused while jobs are placed on the instance.
    ///
    /// The result of a job that must not be retried would be lost for good if its worker rebooted.
    /// An instance in an outage that drains it gets no new jobs, so the commit only has to wait
    /// for those already placed.
    fn apply_disruption(&mut self, offset: Offset, step: &Disruption) -> Result<Offset, Refusal> {
        let placed = self.jobs.worker(step.instance()).map_or(0, |w| w.placed);
        if matches!(step, Disruption::Commit { .. }) && placed > 0 {
            let detail = format!("{placed} jobs are placed on {}", step.instance());
            return Err(Refusal::new(Code::WrongStage).with_detail(detail));
        }
        let object = ObjectId::Instance(step.instance().clone());
        let before = self.config.image(&object);
        let fence = self.disruptions.apply(offset, step, &mut self.config)?;
        match (before, self.config.image(&object)) {
            (Some(before), Some(after)) if before != after => {
                self.audit.record_move(offset, fence, before, after);
            }
            _ => {}
        }
        Ok(fence)
    }

    /// A writer that was paused may mark an old snapshot late, so only a mark with a higher head
    /// replaces the current one.
    fn apply_snapshot_mark(&mut self, mark: SnapshotMark) -> Applied {
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
            // A client that got no answer appends the ticket again; the same content gets the
            // result of the first.
            if first.digest == digest {
                return first.clone();
            }
            let detail = format!("used at offset {}", first.offset);
            let refused = outcome(Refusal::new(Code::TicketUsed).with_detail(detail));
            return self.refuse(ticket, refused);
        }
        if self.ledger.is_expired(ticket.ticket) {
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
        rules::check_consistency(ticket, &self.config, &next)?;
        self.disruptions.check_ticket(ticket, &self.config, &next)?;
        Ok(next)
    }

    fn accept(&mut self, ticket: &Ticket, outcome: Outcome, next: Config) -> Arc<Outcome> {
        self.audit
            .record_accepted(ticket, &outcome, &self.config, &next);
        self.disruptions.apply_ticket(ticket, &self.config, &next);
        self.config = next;
        for change in &ticket.changes {
            let object = change.object();
            if let ObjectId::Team(team) = &object {
                self.update_request_limit(outcome.offset, team);
            }
            self.ledger.record_change(object, ticket.ticket);
        }
        Arc::new(outcome)
    }

    fn refuse(&mut self, ticket: &Ticket, outcome: Outcome) -> Arc<Outcome> {
        self.audit.record_refused(ticket, &outcome);
        Arc::new(outcome)
    }
}
