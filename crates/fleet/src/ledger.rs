//! Ticket numbers already used, with their outcomes.

use std::sync::Arc;

use cactuswheel_model::{ObjectId, TicketNo};
use imbl::OrdMap;
use serde::{Deserialize, Serialize};

use crate::Outcome;

/// Maximum number of outcomes kept: eight hours of changes at the fleet size that the design
/// targets.
///
/// Outcomes are the largest part of the state. A retry arrives within minutes. A ticket that
/// arrives after this many higher numbers is refused as stale, and the operator has to use a new
/// number.
const MAX_OUTCOMES: usize = 6_000;

/// Remembers tickets, so that a retry gets the result of the first submission and a late ticket
/// cannot revert a newer one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Outcomes by ticket number.
    ///
    /// Invariant: at most `MAX_OUTCOMES`, all numbered above `floor`.
    outcomes: OrdMap<TicketNo, Arc<Outcome>>,
    /// The ticket that last changed each object, including removed objects.
    ///
    /// Invariant: only numbers above `floor`; tickets up to `floor` are refused anyway.
    #[serde(with = "pairs")]
    #[serde(rename = "touched")]
    last_tickets: OrdMap<ObjectId, TicketNo>,
    /// Highest ticket number whose outcome was dropped; this number and all lower ones are stale.
    floor: Option<TicketNo>,
}

impl Ledger {
    /// The outcome of a ticket, if it is still kept.
    pub fn outcome(&self, ticket: TicketNo) -> Option<&Arc<Outcome>> {
        self.outcomes.get(&ticket)
    }

    /// Whether outcomes up to this number were dropped, so that a ticket with it is refused as
    /// stale.
    pub fn is_expired(&self, ticket: TicketNo) -> bool {
        self.floor.is_some_and(|floor| ticket <= floor)
    }

    /// The ticket that last changed an object, if its number is above `floor`.
    pub fn last_ticket(&self, object: &ObjectId) -> Option<TicketNo> {
        self.last_tickets.get(object).copied()
    }

    /// The outcomes kept, in ascending order of ticket numbers.
    pub fn outcomes(&self) -> impl DoubleEndedIterator<Item = &Arc<Outcome>> {
        self.outcomes.values()
    }

    /// Stores the outcome of the first ticket with its number.
    pub(crate) fn record(&mut self, outcome: Arc<Outcome>) {
        self.outcomes.insert(outcome.ticket, outcome);
        if self.outcomes.len() > MAX_OUTCOMES {
            self.expire_lowest();
        }
    }

    /// Records that an accepted ticket changed an object.
    pub(crate) fn record_change(&mut self, object: ObjectId, ticket: TicketNo) {
        self.last_tickets.insert(object, ticket);
    }

    fn expire_lowest(&mut self) {
        let Some(floor) = self.outcomes.get_min().map(|(ticket, _)| *ticket) else {
            return;
        };
        self.outcomes.remove(&floor);
        self.floor = Some(floor);
        let below = self.last_tickets.iter().filter(|(_, t)| **t <= floor);
        let below: Vec<_> = below.map(|(object, _)| object.clone()).collect();
        for object in below {
            self.last_tickets.remove(&object);
        }
    }
}

/// Writes the map as a list of pairs, because JSON allows only strings as keys of a map.
mod pairs {
    use cactuswheel_model::{ObjectId, TicketNo};
    use imbl::OrdMap;
    use serde::{Deserialize, Deserializer, Serializer};

    type LastTickets = OrdMap<ObjectId, TicketNo>;

    pub(super) fn serialize<S: Serializer>(map: &LastTickets, out: S) -> Result<S::Ok, S::Error> {
        out.collect_seq(map.iter())
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        input: D,
    ) -> Result<LastTickets, D::Error> {
        let pairs = Vec::<(ObjectId, TicketNo)>::deserialize(input)?;
        Ok(pairs.into_iter().collect())
    }
}
