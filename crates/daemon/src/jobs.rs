//! Jobs at an entry: taking them in, placing them, telling workers.

mod answer;
mod driver;
mod event_queue;
mod round;
mod workers;

pub(crate) use answer::answer;
pub(crate) use driver::drive;
pub(crate) use event_queue::{EventQueue, write};
