//! Code written by the Thrift compiler from `peer.thrift`.

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub(crate) mod peer;
