//! The audit trail: who changed what.

use std::sync::Arc;

use cactuswheel_model::{Change, Code, Denial, ObjectId, Offset, Ticket};
use imbl::Vector;
use serde::{Deserialize, Serialize};

use crate::{AuditRow, Config, Image, Outcome};

/// Maximum number of rows kept. Older changes can still be read from the log itself while it
/// retains them.
const MAX_ROWS: usize = 4_000;

/// Maximum number of objects listed for a refused ticket, so that one large refused ticket does
/// not push out the rows of actual changes.
const MAX_REFUSED_OBJECTS: usize = 16;

/// The newest rows of the audit trail.
///
/// The trail is part of the state and thus of every snapshot, so it survives the replacement of
/// all entries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    /// Invariant: at most `MAX_ROWS`, ordered by offset.
    rows: Vector<Arc<AuditRow>>,
}

impl Audit {
    /// All rows, oldest first.
    pub fn rows(&self) -> impl DoubleEndedIterator<Item = &Arc<AuditRow>> {
        self.rows.iter()
    }

    /// Returns at most `max` rows, oldest first: those from offset `from` on, or the newest ones
    /// without `from`. With `object`, only rows about that object.
    pub fn query(
        &self,
        object: Option<&ObjectId>,
        from: Option<Offset>,
        max: usize,
    ) -> Vec<Arc<AuditRow>> {
        let matching = |row: &&Arc<AuditRow>| object.is_none_or(|o| row.object.as_ref() == Some(o));
        let found = self.rows.iter().filter(matching).cloned();
        if let Some(from) = from {
            return found.filter(|r| r.offset >= from).take(max).collect();
        }
        let mut newest: Vec<_> = found.rev().take(max).collect();
        newest.reverse();
        newest
    }

    /// Records an accepted ticket, which turned `old` into `next`.
    pub(crate) fn record_accepted(
        &mut self,
        ticket: &Ticket,
        outcome: &Outcome,
        old: &Config,
        next: &Config,
    ) {
        let objects = ticket.changes.iter().map(Change::object);
        let rows = objects.map(|object| AuditRow {
            before: old.image(&object),
            after: next.image(&object),
            ..ticket_row(ticket, outcome, Some(object))
        });
        self.extend(rows);
    }

    /// Records a refused ticket.
    pub(crate) fn record_refused(&mut self, ticket: &Ticket, outcome: &Outcome) {
        if ticket.changes.is_empty() {
            return self.extend([ticket_row(ticket, outcome, None)]);
        }
        let listed = ticket.changes.iter().take(MAX_REFUSED_OBJECTS);
        self.extend(listed.map(|c| ticket_row(ticket, outcome, Some(c.object()))));
    }

    /// Records the withdrawal of a key outside tickets.
    pub(crate) fn record_denial(
        &mut self,
        at: Offset,
        denial: &Denial,
        old: &Config,
        next: &Config,
    ) {
        let object = ObjectId::Key(denial.digest);
        self.extend([AuditRow {
            at: None,
            author: Some(denial.by.clone()),
            ticket: None,
            offset: at,
            before: old.image(&object),
            after: next.image(&object),
            object: Some(object),
            code: Code::Ok,
            detail: "denied outside tickets".into(),
        }]);
    }

    /// Records a planned move to another pool, which has no ticket of its own.
    pub(crate) fn record_move(
        &mut self,
        offset: Offset,
        fence: Offset,
        before: Image,
        after: Image,
    ) {
        let object = match &after {
            Image::Instance(instance) => Some(ObjectId::Instance(instance.id.clone())),
            _ => None,
        };
        self.extend([AuditRow {
            at: None,
            author: None,
            ticket: None,
            offset,
            object,
            before: Some(before),
            after: Some(after),
            code: Code::Ok,
            detail: format!("move granted at offset {fence}"),
        }]);
    }

    fn extend(&mut self, rows: impl IntoIterator<Item = AuditRow>) {
        self.rows.extend(rows.into_iter().map(Arc::new));
        while self.rows.len() > MAX_ROWS {
            self.rows.pop_front();
        }
    }
}

fn ticket_row(ticket: &Ticket, outcome: &Outcome, object: Option<ObjectId>) -> AuditRow {
    AuditRow {
        at: ticket.at,
        author: ticket.author.clone(),
        ticket: Some(ticket.ticket),
        offset: outcome.offset,
        object,
        before: None,
        after: None,
        code: outcome.code,
        detail: outcome.detail.clone(),
    }
}
