//! Digests of keys and of content.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use subtle::ConstantTimeEq;

/// Bytes in a digest.
const LEN: usize = 32;

/// A BLAKE3 digest.
///
/// Keys are kept and compared as digests only, so no key can leak through state, a log line
/// or the audit trail.
#[derive(Debug, Clone, Copy, PartialOrd, Ord)]
pub struct Digest([u8; LEN]);

/// Text that is not a digest.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a digest is 64 hexadecimal digits")]
pub struct ParseDigestError;

impl Digest {
    /// Digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// The digest with these bytes, if there are as many as it has.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// The digest's bytes.
    pub fn as_bytes(&self) -> &[u8; LEN] {
        &self.0
    }
}

/// Compares in constant time.
///
/// Failure: a comparison that stops at the first difference tells a caller, by its timing, how
/// far a guessed key agrees. The digest already hides that; comparing all bytes removes the rest.
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
