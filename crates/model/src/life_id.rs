//! Lives of entries: one per process start.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::EntryId;

/// Identifier of one life of an entry: the entry's name and a random number drawn at its start.
///
/// An entry stores no state, so a replacement starts under the same name without any, while
/// work that the earlier life started may still be running. The number distinguishes the two.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LifeId {
    /// Name of the entry.
    pub entry: EntryId,
    /// Random number; different for every life of the entry.
    pub nonce: u64,
}

/// Error for a string that is not a valid life identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a life is ENTRY:NUMBER with the number in hexadecimal")]
pub struct ParseLifeError;

impl LifeId {
    /// Creates the identifier of the life of `entry` that drew `nonce`.
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
