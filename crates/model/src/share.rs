//! Shares of a full fleet.

use crate::number::number;

number! {
    /// Weight of a team when the fleet is full, relative to the other teams' weights.
    Share(u32)
}
