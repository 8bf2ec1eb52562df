//! Tasks that a scheduling cycle could not place, and when it stops for them.

use cactuswheel_work::{Room, Step};

use crate::shape::Shape;

/// Number of tasks without a worker after which a cycle leaves the front of a service's queue: the
/// jobs further back seldom fit either.
const MAX_MISSES: usize = 24;

/// Number of steps that a cycle examines at the front of a service's queue without starting a task,
/// misses or not. Bounds the cost of a cycle.
const MAX_FRONT: usize = 512;

/// Number of steps that a cycle examines behind the front without starting a task.
const MAX_SWEPT: usize = 128;

/// Tasks of one service for which the current cycle found no worker.
#[derive(Default)]
pub(crate) struct Misses {
    count: usize,
    /// Number of steps that were examined without starting a task.
    pub(crate) idle_steps: usize,
    /// Amounts of room that no worker of the service has free.
    too_large: Vec<Room>,
    /// Labels and amounts of room that no worker of the service has free.
    labelled: Vec<Shape>,
    /// Gangs for some of whose tasks no worker was left. The others gave their room back, so these
    /// say nothing about other steps.
    gangs: Vec<Gang>,
}

/// What a gang requires.
struct Gang {
    shape: Shape,
    tasks: u32,
}

impl Misses {
    /// Counts a task without a worker.
    pub(crate) fn add(&mut self) {
        self.count += 1;
    }

    /// Counts a task of the step without a worker after `placed` of its tasks got one.
    /// `unconstrained` tells that it was for lack of free room on all workers with the step's label.
    pub(crate) fn record(&mut self, step: &Step, unconstrained: bool, placed: usize) {
        self.add();
        match step.label {
            _ if !unconstrained => {}
            _ if step.gang && placed > 0 => self.gangs.push(Gang {
                shape: Shape::of(step),
                tasks: step.count,
            }),
            None => self.too_large.push(step.reserved()),
            Some(_) => self.labelled.push(Shape::of(step)),
        }
    }

    /// Whether a task of the step cannot be placed, going by the earlier misses.
    pub(crate) fn covers(&self, step: &Step) -> bool {
        let room = step.reserved();
        let labelled = |s: &Shape| s.label == step.label && s.room.fits(room);
        self.too_large.iter().any(|missed| missed.fits(room))
            || (step.label.is_some() && self.labelled.iter().any(labelled))
            || (step.gang && self.covers_gang(step))
    }

    fn covers_gang(&self, step: &Step) -> bool {
        let room = step.reserved();
        self.gangs.iter().any(|missed| {
            missed.shape.label == step.label
                && missed.shape.room.fits(room)
                && missed.tasks <= step.count
        })
    }

    /// Whether the cycle has to leave the front of the queue.
    pub(crate) fn ends_front(&self) -> bool {
        self.count >= MAX_MISSES || self.idle_steps >= MAX_FRONT
    }

    /// Whether the cycle has to stop behind the front.
    pub(crate) fn ends_sweep(&self) -> bool {
        self.idle_steps >= MAX_SWEPT
    }
}
