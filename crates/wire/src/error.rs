//! Failures between entries.

/// Why a peer gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// A message cannot be encoded or decoded.
    #[error("message: {0}")]
    Message(#[from] thrift::Error),
    /// No connection.
    #[error("connection: {0}")]
    Connect(#[from] std::io::Error),
    /// No connection in time.
    #[error("connection timed out")]
    Timeout,
    /// The call failed.
    #[error("call: {0}")]
    Call(#[from] tarpc::client::RpcError),
}
