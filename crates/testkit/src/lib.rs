//! Property tests that give the same verdict every time. Test support only.
//!
//! [`check`] runs a property on inputs drawn from a seed. [`World`] steps several nodes
//! against fakes whose faults are drawn from a seed as well. A property takes the seed as
//! its input, builds a world from it, injects faults, heals and asserts.

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
