//! Addresses in settings: IP numbers with a port, never names.

use std::fmt;
use std::net::SocketAddr;

use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer};

/// What an address looks like.
pub(super) const SHAPE: &str = "an IP number with a port, such as 10.0.0.1:8080";

/// One address whose error says what it got and what it takes.
struct Addr(SocketAddr);

struct AddrVisitor;

impl Visitor<'_> for AddrVisitor {
    type Value = Addr;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(SHAPE)
    }

    fn visit_str<E: de::Error>(self, s: &str) -> Result<Addr, E> {
        let addr = s.parse().map(Addr);
        addr.map_err(|_| E::invalid_value(de::Unexpected::Str(s), &self))
    }
}

impl<'de> Deserialize<'de> for Addr {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        input.deserialize_str(AddrVisitor)
    }
}

/// Reads one address.
pub(super) fn one<'de, D: Deserializer<'de>>(input: D) -> Result<SocketAddr, D::Error> {
    Addr::deserialize(input).map(|a| a.0)
}

/// Reads a list of addresses.
pub(super) fn many<'de, D: Deserializer<'de>>(input: D) -> Result<Vec<SocketAddr>, D::Error> {
    let list = Vec::<Addr>::deserialize(input)?;
    Ok(list.into_iter().map(|a| a.0).collect())
}
