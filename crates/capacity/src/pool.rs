//! A pool in the course of one plan.

use cactuswheel_cell::WorkerView;

use crate::fleet::Member;

/// A pool in the course of one plan.
#[derive(Debug, Default)]
pub(crate) struct Pool<'a> {
    /// Instances wanted now.
    pub(crate) target: usize,
    /// Instances that are kept.
    pub(crate) keep: usize,
    pub(crate) serving: Vec<(&'a Member<'a>, &'a WorkerView)>,
    pub(crate) closing: Vec<(&'a Member<'a>, &'a WorkerView)>,
    pub(crate) coming: usize,
}

impl Pool<'_> {
    pub(crate) fn have(&self) -> usize {
        self.serving.len() + self.coming
    }
}
