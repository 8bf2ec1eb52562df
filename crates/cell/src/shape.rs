//! What a step requires of a worker, whatever is free there.

use cactuswheel_work::{Room, Step};

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

    /// What a worker or an instance offers: its room without any label, and with each of its
    /// labels.
    pub(crate) fn offers(room: Room, labels: &[String]) -> impl Iterator<Item = Self> {
        let labels = labels.iter().cloned().map(Some);
        labels.chain([None]).map(move |label| Self { label, room })
    }
}

/// Number of a step's tasks that workers with these amounts of room could run at once if they were
/// empty, up to `most`.
pub(crate) fn places(offers: impl Iterator<Item = (Room, u64)>, step: &Step, most: u64) -> u64 {
    let each = offers.map(|(room, workers)| step.tasks_on(room).saturating_mul(workers));
    sum_up_to(most, each)
}

/// Sum of `counts`, which are read until it reaches `most`.
pub(crate) fn sum_up_to(most: u64, counts: impl Iterator<Item = u64>) -> u64 {
    let mut sum = 0u64;
    for count in counts {
        sum = sum.saturating_add(count);
        if sum >= most {
            return most;
        }
    }
    sum
}
