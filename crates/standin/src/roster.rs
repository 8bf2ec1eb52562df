//! The list of instances, with what changed lately.

use std::collections::{BTreeMap, VecDeque};
use std::time::{SystemTime, UNIX_EPOCH};

use cactuswheel_model::InstanceId;
use cactuswheel_platform::{RosterChanges, RosterEntry};

/// Changes remembered; whoever is further behind gets the whole list.
const KEPT: usize = 10_000;

/// Instances, and the names of those that changed since a version.
#[derive(Debug)]
pub(crate) struct Roster {
    rows: BTreeMap<InstanceId, RosterEntry>,
    /// Names in the order of their changes.
    ///
    /// Invariant: the last one is change number `count`.
    changed: VecDeque<InstanceId>,
    /// Changes since the start.
    count: u64,
    /// Tells one start from another; versions of another start mean nothing.
    start: u128,
}

impl Default for Roster {
    fn default() -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            rows: BTreeMap::new(),
            changed: VecDeque::new(),
            count: 0,
            start: now.unwrap_or_default().as_nanos(),
        }
    }
}

impl Roster {
    /// How an instance is listed.
    pub(crate) fn get(&self, id: &InstanceId) -> Option<&RosterEntry> {
        self.rows.get(id)
    }

    /// Lists an instance.
    pub(crate) fn insert(&mut self, id: InstanceId, sighting: RosterEntry) {
        if self.rows.get(&id) != Some(&sighting) {
            self.note(id.clone());
            self.rows.insert(id, sighting);
        }
    }

    /// Drops an instance from the list.
    pub(crate) fn remove(&mut self, id: &InstanceId) -> Option<RosterEntry> {
        let sighting = self.rows.remove(id)?;
        self.note(id.clone());
        Some(sighting)
    }

    /// What changed since a version, or the whole list if that is not known any more.
    pub(crate) fn changes(&self, since: &str) -> RosterChanges {
        let version = format!("{:x}-{}", self.start, self.count);
        let Some(news) = self.since(since) else {
            let listed = self.rows.values().cloned().collect();
            return RosterChanges {
                version,
                whole: true,
                listed,
                gone: Vec::new(),
            };
        };
        let mut names: Vec<_> = news.collect();
        names.sort();
        names.dedup();
        let (listed, gone): (Vec<_>, Vec<_>) = names
            .into_iter()
            .partition(|id| self.rows.contains_key(*id));
        let listed = listed
            .into_iter()
            .filter_map(|id| self.rows.get(id).cloned());
        let gone = gone.into_iter().cloned().collect();
        RosterChanges {
            version,
            whole: false,
            listed: listed.collect(),
            gone,
        }
    }

    fn since(&self, version: &str) -> Option<impl Iterator<Item = &InstanceId>> {
        let (start, count) = version.split_once('-')?;
        let known = u128::from_str_radix(start, 16).ok()? == self.start;
        let behind = self.count.checked_sub(count.parse().ok()?)? as usize;
        let skip = self.changed.len().checked_sub(behind)?;
        known.then(|| self.changed.iter().skip(skip))
    }

    fn note(&mut self, id: InstanceId) {
        self.changed.push_back(id);
        self.count += 1;
        if self.changed.len() > KEPT {
            self.changed.pop_front();
        }
    }
}
