//! The state that the log folds to.

use std::sync::Arc;

use cactuswheel_model::{Code, Offset, Record, Refusal, Ticket};
use serde::{Deserialize, Serialize};

use crate::{Allotments, Config, Ledger, Outcome, rules};

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
    allotments: Allotments,
}

/// What applying a record did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// A ticket, with the lasting outcome of its number.
    ///
    /// For a number used before with other content the code is [`Code::TicketUsed`].
    Ticket(Arc<Outcome>),
    /// An entry's word on units; whether it changed anything.
    Holding(bool),
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

    /// Who may run how much for which team.
    pub fn allotments(&self) -> &Allotments {
        &self.allotments
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
            Ok(Record::Holding(holding)) => {
                Applied::Holding(self.allotments.apply(offset, &holding))
            }
            Err(e) => Applied::Undecodable(e.to_string()),
        }
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
            return Arc::new(outcome(Refusal::new(Code::TicketUsed).with_detail(detail)));
        }
        if self.ledger.is_forgotten(ticket.ticket) {
            let detail = "its number is below all that are remembered";
            return Arc::new(outcome(Refusal::new(Code::TicketStale).with_detail(detail)));
        }
        let outcome = match self.try_ticket(ticket) {
            Ok(()) => {
                self.allotments.follow(offset, &ticket.changes);
                outcome(Refusal::new(Code::Ok))
            }
            Err(refusal) => outcome(refusal),
        };
        self.ledger.record(outcome.clone());
        Arc::new(outcome)
    }

    fn try_ticket(&mut self, ticket: &Ticket) -> Result<(), Refusal> {
        rules::check_order(ticket, &self.ledger)?;
        let mut next = self.config.clone();
        ticket.changes.iter().for_each(|c| next.set(c));
        rules::check_sense(ticket, &self.config, &next)?;
        self.config = next;
        for change in &ticket.changes {
            self.ledger.touch(change.object(), ticket.ticket);
        }
        Ok(())
    }
}
