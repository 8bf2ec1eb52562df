//! Lives of entries.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::EntryId;

/// One life of an entry: its name and a number drawn at its start.
///
/// An entry keeps nothing, so after a replacement the same name runs with an empty memory
/// while work that the earlier life started may still run. The number keeps the two apart.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LifeId {
    /// The entry.
    pub entry: EntryId,
    /// Random; no two lives of one entry share it.
    pub nonce: u64,
}

/// Text that names no life.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a life is ENTRY:NUMBER with the number in hexadecimal")]
pub struct ParseLifeError;

impl LifeId {
    /// The life of `entry` that drew `nonce`.
    pub fn new(entry: EntryId, nonce: u64) -> Self {
        Self { entry, nonce }
    }
}

impl fmt::Display for LifeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{:x}", self.entry, self.nonce)
    }
}

impl FromStr for LifeId {
    type Err = ParseLifeError;

    fn from_str(s: &str) -> Result<Self, ParseLifeError> {
        let (entry, nonce) = s.split_once(':').ok_or(ParseLifeError)?;
        let entry = entry.parse().map_err(|_| ParseLifeError)?;
        let nonce = u64::from_str_radix(nonce, 16).map_err(|_| ParseLifeError)?;
        Ok(Self { entry, nonce })
    }
}

impl Serialize for LifeId {
    fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        out.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for LifeId {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        struct LifeVisitor;

        impl de::Visitor<'_> for LifeVisitor {
            type Value = LifeId;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("ENTRY:NUMBER")
            }

            fn visit_str<E: de::Error>(self, s: &str) -> Result<LifeId, E> {
                s.parse().map_err(E::custom)
            }
        }

        input.deserialize_str(LifeVisitor)
    }
}
