//! Ticket numbers that were used.

use std::sync::Arc;

use cactuswheel_model::{ObjectId, TicketNo};
use imbl::OrdMap;
use serde::{Deserialize, Serialize};

use crate::Outcome;

/// Outcomes kept: eight hours of changes at the size designed for.
///
/// They are the largest part of a state. A repeat comes within minutes; a number that is put
/// in later than this many others is refused as stale, and the operator takes a new one.
const MAX_OUTCOMES: usize = 6_000;

/// Remembers tickets so that a repeat gets the first one's result and nothing reverts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Outcomes by number.
    ///
    /// Invariant: at most `MAX_OUTCOMES`, all numbered above `floor`.
    outcomes: OrdMap<TicketNo, Arc<Outcome>>,
    /// The ticket that last touched an object, removed objects too.
    ///
    /// Invariant: only numbers above `floor`; lower ones are refused by the floor itself.
    #[serde(with = "pairs")]
    #[serde(rename = "touched")]
    last_tickets: OrdMap<ObjectId, TicketNo>,
    /// Highest number whose outcome was forgotten; it and all below are stale.
    floor: Option<TicketNo>,
}

impl Ledger {
    /// The outcome of a ticket, if it is still remembered.
    pub fn outcome(&self, ticket: TicketNo) -> Option<&Arc<Outcome>> {
        self.outcomes.get(&ticket)
    }

    /// Whether a number is too old to be judged.
    pub fn is_expired(&self, ticket: TicketNo) -> bool {
        self.floor.is_some_and(|floor| ticket <= floor)
    }

    /// The ticket that last touched an object.
    pub fn last_ticket(&self, object: &ObjectId) -> Option<TicketNo> {
        self.last_tickets.get(object).copied()
    }

    /// Remembered outcomes, oldest number first.
    pub fn outcomes(&self) -> impl DoubleEndedIterator<Item = &Arc<Outcome>> {
        self.outcomes.values()
    }

    /// Records the result of the first record with its number.
    pub(crate) fn record(&mut self, outcome: Arc<Outcome>) {
        self.outcomes.insert(outcome.ticket, outcome);
        if self.outcomes.len() > MAX_OUTCOMES {
            self.expire_lowest();
        }
    }

    /// Records that an accepted ticket touched an object.
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

/// JSON wants text for keys of maps; pairs take any key.
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
