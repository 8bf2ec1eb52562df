//! Checks that go beyond the type of a field.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::addr::SHAPE;
use super::{Settings, SettingsFault};

impl Settings {
    /// Finds a value that does not make sense beside the others.
    pub fn check(&self) -> Result<(), SettingsFault> {
        self.check_addrs()?;
        self.check_operators()?;
        self.check_maintenance()?;
        self.limits.check()
    }

    /// Bounds of 0 would stop all maintenance without a word.
    fn check_maintenance(&self) -> Result<(), SettingsFault> {
        let bounds = [
            ("parallel", self.maintenance.parallel),
            ("failures", self.maintenance.overdue_limit),
        ];
        match bounds.iter().find(|(_, bound)| *bound == 0) {
            None => Ok(()),
            Some((name, bound)) => {
                let field = format!("maintenance.{name}");
                Err(SettingsFault::new(field, bound, "at least 1"))
            }
        }
    }

    /// Every address is a full one and stands once; an entry is no peer of itself.
    fn check_addrs(&self) -> Result<(), SettingsFault> {
        let mut seen = BTreeMap::new();
        let own = [
            ("listen.callers".to_owned(), self.listen.callers),
            ("listen.admin".to_owned(), self.listen.admin),
            ("listen.peer".to_owned(), self.listen.peer),
        ];
        let peers = self.peers.iter().enumerate();
        let others = [("platform".to_owned(), self.platform)]
            .into_iter()
            .chain(peers.map(|(i, addr)| (format!("peers[{i}]"), *addr)));
        for (field, addr) in others.clone() {
            reachable(field, addr)?;
        }
        for (field, addr) in own.into_iter().chain(others) {
            if addr.port() == 0 {
                return Err(SettingsFault::new(field, addr, SHAPE));
            }
            if let Some(first) = seen.insert(addr, field.clone()) {
                let takes = format!("another address than {first}");
                return Err(SettingsFault::new(field, addr, takes));
            }
        }
        Ok(())
    }

    fn check_operators(&self) -> Result<(), SettingsFault> {
        if self.operators.is_empty() {
            let takes = "at least one operator, or no ticket could ever be put in";
            return Err(SettingsFault::new("operators", "none", takes));
        }
        for (i, operator) in self.operators.iter().enumerate() {
            let before = &self.operators[..i];
            let field = |name: &str| format!("operators[{i}].{name}");
            if before.iter().any(|o| o.name == operator.name) {
                let takes = "a name of its own";
                return Err(SettingsFault::new(field("name"), &operator.name, takes));
            }
            if let Some(first) = before.iter().find(|o| o.digest == operator.digest) {
                let takes = format!("another key than {}'s", first.name);
                return Err(SettingsFault::new(field("digest"), operator.digest, takes));
            }
        }
        Ok(())
    }
}

fn reachable(field: String, addr: SocketAddr) -> Result<(), SettingsFault> {
    if addr.ip().is_unspecified() {
        let takes = "the IP number of one machine";
        return Err(SettingsFault::new(field, addr, takes));
    }
    Ok(())
}
