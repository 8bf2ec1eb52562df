//! A team's upper limit over the whole fleet.

mod handover;
mod histories;
mod world;
