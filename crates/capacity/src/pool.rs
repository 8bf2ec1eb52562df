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
    /// Instances with nothing on them that the pool does not want now.
    pub(crate) fn idle(&self) -> usize {
        let empty = |v: &WorkerView| v.runs == 0;
        let serving = self.serving.iter().filter(|(_, v)| empty(v)).count();
        let surplus = self.have().saturating_sub(self.target);
        let closing = self.closing.iter().filter(|(_, v)| empty(v)).count();
        serving.min(surplus) + closing
    }

    pub(crate) fn have(&self) -> usize {
        self.serving.len() + self.coming
    }
}
