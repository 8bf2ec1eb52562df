//! Deterministic property tests: the same seed always gives the same result. Test support only.
//!
//! [`check`] runs a property on inputs generated from a seed. [`World`] simulates several nodes
//! with fakes of their platform; its faults are drawn from a seed as well. A typical property takes
//! a seed as its input, builds a world from it, injects faults, heals the world and checks its
//! state.

mod chaos;
mod check;
mod fake_log;
mod node;
mod rng;
mod seed;
mod world;

pub use chaos::Chaos;
pub use check::check;
pub use fake_log::{FakeBatch, FakeLog, FakeLogError, LogFaults};
pub use node::{Node, Outbox};
pub use rng::Rng;
pub use seed::Seed;
pub use world::World;
