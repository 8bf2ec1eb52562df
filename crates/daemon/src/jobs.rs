//! Jobs at an entry: taking them in, placing them, telling workers.

mod answer;
mod desk;
mod driver;
mod round;
mod workers;

pub(crate) use answer::answer;
pub(crate) use desk::{Desk, write};
pub(crate) use driver::drive;
