//! Weights of teams when the fleet is full.

use crate::number::number;

number! {
    /// Weight of a team when the fleet is full, relative to the other teams' weights.
    Share(u32)
}
