//! Numbers of change tickets.

use crate::number::number;

number! {
    /// Number that operators give a change ticket; a higher one is newer.
    TicketNo(u64)
}
