//! Errors of calls between entries.

/// Why a call to a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// A message cannot be encoded or decoded.
    #[error("message: {0}")]
    Message(#[from] thrift::Error),
    /// The connection could not be opened.
    #[error("connection: {0}")]
    Connect(#[from] std::io::Error),
    /// Opening the connection timed out.
    #[error("connection timed out")]
    Timeout,
    /// The call failed or timed out after the connection was open.
    #[error("call: {0}")]
    Call(#[from] tarpc::client::RpcError),
}
