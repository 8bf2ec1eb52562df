//! Thrift's compact encoding, with size limits.

use bytes::Bytes;
use thrift::TConfiguration;
use thrift::protocol::{TCompactInputProtocol, TCompactOutputProtocol, TSerializable};

use crate::WireError;

/// Maximum nesting depth of a message.
const MAX_DEPTH: usize = 16;

/// Encodes a message.
pub fn encode<T: TSerializable>(message: &T) -> Result<Bytes, WireError> {
    let mut bytes = Vec::new();
    message.write_to_out_protocol(&mut TCompactOutputProtocol::new(&mut bytes))?;
    Ok(Bytes::from(bytes))
}

/// Decodes a message.
///
/// Without a limit, a damaged or malicious message could declare a list of billions of elements,
/// and the generated code reserves memory for all of them up front. No valid list or string is
/// longer than the received bytes, so their number is the limit.
pub fn decode<T: TSerializable>(bytes: &[u8]) -> Result<T, WireError> {
    let max_size = bytes.len().max(1);
    let config = TConfiguration::builder()
        .max_message_size(Some(max_size))
        .max_frame_size(Some(max_size))
        .max_container_size(Some(max_size))
        .max_string_size(Some(max_size))
        .max_recursion_depth(Some(MAX_DEPTH))
        .build()?;
    let mut input = TCompactInputProtocol::with_config(bytes, config);
    Ok(T::read_from_in_protocol(&mut input)?)
}
