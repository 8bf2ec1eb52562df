//! What a step requires of a worker, whatever is free there.

use cactuswheel_work::{Room, Step, WorkerEntry};

/// A label and an amount of room: what a step requires of a worker, or what a worker offers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Shape {
    pub(crate) label: Option<String>,
    pub(crate) room: Room,
}

impl Shape {
    /// What a worker must have to run a task of the step.
    pub(crate) fn of(step: &Step) -> Self {
        Self {
            label: step.label.clone(),
            room: step.reserved(),
        }
    }

    /// What a worker offers: its room without any label, and with each of its labels.
    pub(crate) fn offers(entry: &WorkerEntry) -> impl Iterator<Item = Self> {
        let room = entry.room;
        let labels = entry.labels.iter().cloned().map(Some);
        labels.chain([None]).map(move |label| Self { label, room })
    }
}
