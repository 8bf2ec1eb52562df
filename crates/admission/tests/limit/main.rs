//! Tests of a team's limit over the whole fleet.

mod handover;
mod histories;
mod world;
