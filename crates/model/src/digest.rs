//! Digests of keys and of content.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use subtle::ConstantTimeEq;

/// Length of a digest, in bytes.
const LEN: usize = 32;

/// A BLAKE3 digest.
///
/// Keys are stored and compared only as digests, so no key can leak through the replicated
/// state, a log line or the audit trail.
#[derive(Debug, Clone, Copy, PartialOrd, Ord)]
pub struct Digest([u8; LEN]);

/// Error for a string that is not a valid digest.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a digest is 64 hexadecimal digits")]
pub struct ParseDigestError;

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Creates a digest from its raw bytes; `None` unless there are exactly 32.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// The raw bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; LEN] {
        &self.0
    }
}

/// Compares in constant time.
///
/// The duration of a comparison that stops at the first difference tells a caller how many
/// leading bytes of a guess are right. Comparing digests instead of keys already hides this for
/// the key itself; comparing all bytes hides it for the digest too.
impl PartialEq for Digest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for Digest {}

impl Hash for Digest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl FromStr for Digest {
    type Err = ParseDigestError;

    fn from_str(s: &str) -> Result<Self, ParseDigestError> {
        let hash = blake3::Hash::from_hex(s).map_err(|_| ParseDigestError)?;
        Ok(Self(*hash.as_bytes()))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        out.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        struct DigestVisitor;

        impl de::Visitor<'_> for DigestVisitor {
            type Value = Digest;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("64 hexadecimal digits")
            }

            fn visit_str<E: de::Error>(self, s: &str) -> Result<Digest, E> {
                s.parse().map_err(E::custom)
            }
        }

        input.deserialize_str(DigestVisitor)
    }
}
