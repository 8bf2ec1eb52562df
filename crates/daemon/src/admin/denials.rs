//! Withdrawing a key at once, also where the platform is out of reach.

use std::sync::Arc;

use cactuswheel_http::{Reply, json, read_json};
use cactuswheel_model::{Code, Denial, Digest, OperatorId, Refusal};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};

use crate::shared::Shared;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Asked {
    digest: Digest,
}

#[derive(Serialize)]
struct Denied {
    digest: Digest,
    /// Whether the log holds it already; else it is in force here and told to the peers.
    recorded: bool,
}

/// Puts a denial in force at this entry; the peers and the log follow.
pub(super) async fn put(
    shared: Arc<Shared>,
    by: OperatorId,
    request: Request<Incoming>,
) -> Result<Reply, Refusal> {
    let asked: Asked = read_json(request.into_body())
        .await
        .map_err(|e| Refusal::new(Code::BadRequest).with_detail(e))?;
    let digest = asked.digest;
    shared.deny(Denial { digest, by });
    let recorded = shared.state.load().denials().contains(&digest);
    Ok(json(StatusCode::OK, &Denied { digest, recorded }))
}
