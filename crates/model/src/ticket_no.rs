//! Numbers of change tickets.

use crate::number::number;

number! {
    /// Number of a change ticket, assigned by operators; a higher number is newer.
    TicketNo(u64)
}
