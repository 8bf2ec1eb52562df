//! Ticket numbers that were used.

use std::collections::BTreeMap;
use std::sync::Arc;

use cactuswheel_model::{ObjectId, TicketNo};
use serde::{Deserialize, Serialize};

use crate::Outcome;

/// Outcomes kept: two days of changes at the size designed for.
const KEPT: usize = 36_000;

/// Remembers tickets so that a repeat gets the first one's result and nothing reverts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Outcomes by number.
    ///
    /// Invariant: at most `KEPT`, all numbered above `floor`.
    outcomes: Arc<BTreeMap<TicketNo, Arc<Outcome>>>,
    /// The ticket that last touched an object, removed objects too.
    ///
    /// Invariant: only numbers above `floor`; lower ones are refused by the floor itself.
    #[serde(with = "pairs")]
    touched: Arc<BTreeMap<ObjectId, TicketNo>>,
    /// Highest number whose outcome was forgotten; it and all below are stale.
    floor: Option<TicketNo>,
}

impl Ledger {
    /// The outcome of a ticket, if it is still remembered.
    pub fn outcome(&self, ticket: TicketNo) -> Option<&Arc<Outcome>> {
        self.outcomes.get(&ticket)
    }

    /// Whether a number is too old to be judged.
    pub fn is_forgotten(&self, ticket: TicketNo) -> bool {
        self.floor.is_some_and(|floor| ticket <= floor)
    }

    /// The ticket that last touched an object.
    pub fn toucher(&self, object: &ObjectId) -> Option<TicketNo> {
        self.touched.get(object).copied()
    }

    /// Remembered outcomes, oldest number first.
    pub fn outcomes(&self) -> impl DoubleEndedIterator<Item = &Arc<Outcome>> {
        self.outcomes.values()
    }

    /// Records the result of the first record with its number.
    pub(crate) fn record(&mut self, outcome: Arc<Outcome>) {
        let outcomes = Arc::make_mut(&mut self.outcomes);
        outcomes.insert(outcome.ticket, outcome);
        if outcomes.len() > KEPT {
            self.forget();
        }
    }

    /// Records that an accepted ticket touched an object.
    pub(crate) fn touch(&mut self, object: ObjectId, ticket: TicketNo) {
        Arc::make_mut(&mut self.touched).insert(object, ticket);
    }

    fn forget(&mut self) {
        let Some((floor, _)) = Arc::make_mut(&mut self.outcomes).pop_first() else {
            return;
        };
        self.floor = Some(floor);
        Arc::make_mut(&mut self.touched).retain(|_, t| *t > floor);
    }
}

/// JSON wants text for keys of maps; pairs take any key.
mod pairs {
    use std::collections::BTreeMap;
    use std::sync::Arc;

    use cactuswheel_model::{ObjectId, TicketNo};
    use serde::{Deserialize, Deserializer, Serializer};

    type Touched = Arc<BTreeMap<ObjectId, TicketNo>>;

    pub(super) fn serialize<S: Serializer>(map: &Touched, out: S) -> Result<S::Ok, S::Error> {
        out.collect_seq(map.iter())
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<Touched, D::Error> {
        let pairs = Vec::<(ObjectId, TicketNo)>::deserialize(input)?;
        Ok(Arc::new(pairs.into_iter().collect()))
    }
}
