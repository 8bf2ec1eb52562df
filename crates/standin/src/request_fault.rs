//! Faults of an upstream, injected by a request's header `x-fault`.

use std::str::FromStr;

/// Fault to inject into one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum RequestFault {
    /// No fault.
    #[default]
    None,
    /// `refuse`: the upstream answers that it did not run the request.
    Refuse,
    /// `reset-before`: the connection closes before the request runs.
    ResetBefore,
    /// `reset-after`: the request runs, and the connection closes without an answer.
    ResetAfter,
    /// `early`: the upstream answers without reading the request body.
    Early,
    /// `short=N`: the connection closes after the first N bytes of the answer's body.
    Truncated(usize),
    /// `chunks=N`: like `short=N`, but with chunked encoding and no final chunk.
    TruncatedChunks(usize),
}

impl FromStr for RequestFault {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        Ok(match s {
            "" => Self::None,
            "refuse" => Self::Refuse,
            "reset-before" => Self::ResetBefore,
            "reset-after" => Self::ResetAfter,
            "early" => Self::Early,
            _ => return truncation(s).ok_or_else(|| format!("no such fault: {s}")),
        })
    }
}

fn truncation(s: &str) -> Option<RequestFault> {
    let (name, sent) = s.split_once('=')?;
    let sent = sent.parse().ok()?;
    match name {
        "short" => Some(RequestFault::Truncated(sent)),
        "chunks" => Some(RequestFault::TruncatedChunks(sent)),
        _ => None,
    }
}
