//! Whether the owner on this node can start work.

use std::time::Duration;

use cactuswheel_cell::Cell;
use cactuswheel_demand::{Blockage, Cause};
use cactuswheel_model::Time;

use crate::shared::Shared;

/// Age of the journal batch in flight from which the cell counts as unable to start work. Jobs that
/// wait behind such a batch lose most of the time in which they are useful to their callers.
const MAX_BATCH_AGE: Duration = Duration::from_millis(300);

/// Why the cell cannot start work now; `None` if it can.
pub(crate) fn blockage(shared: &Shared, cell: &Cell, now: Time) -> Option<Blockage> {
    let batch_age = cell.append_age(now).filter(|age| *age > MAX_BATCH_AGE);
    let blocked = |cause| move |age| Blockage { cause, age };
    batch_age
        .map(blocked(Cause::Journal))
        .or_else(|| shared.store_outage().map(blocked(Cause::Store)))
        .or_else(|| {
            let lapsed = shared.ownership_age().checked_sub(shared.expiry());
            lapsed.map(blocked(Cause::Ownership))
        })
}
