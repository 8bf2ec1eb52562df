//! Headers on their way through.

use hyper::HeaderMap;
use hyper::header::{
    AUTHORIZATION, CONNECTION, EXPECT, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Prefix of the headers that only the entry and its upstreams set.
const OWN: &str = "x-cactuswheel-";

/// Header that names the caller's team to the upstream.
pub(super) const TEAM: &str = "x-cactuswheel-team";

/// Header with the number of the result.
pub(super) const CODE: &str = "x-cactuswheel-code";

/// Header that says whether the request ran.
pub(super) const RAN: &str = "x-cactuswheel-ran";

/// An upstream's proof that it did not run a request.
pub(super) const NOT_RUN: &str = "x-cactuswheel-not-run";

/// An upstream's word that it takes no new work.
pub(super) const LEAVING: &str = "x-cactuswheel-leaving";

/// Header with the request's id.
pub(super) const REQUEST_ID: &str = "x-request-id";

/// Header with the time that is left for a request, in milliseconds.
pub(super) const DEADLINE: &str = "x-deadline-ms";

/// Header of a caller whose request is urgent.
pub(super) const PRIORITY: &str = "x-priority";

/// Header of a caller who allows a request to run more than once.
pub(super) const IDEMPOTENT: &str = "x-idempotent";

/// Headers that belong to one connection and are not passed on.
const HOP_BY_HOP: [HeaderName; 7] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Names that have no constant of their own.
const HOP_BY_HOP_TOO: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Removes from a caller's headers what is not for the upstream.
pub(super) fn strip_request(headers: &mut HeaderMap) {
    strip(headers);
    // The key is between the caller and us; the upstream is told the team.
    headers.remove(AUTHORIZATION);
    // The entry itself has told the caller to go on.
    headers.remove(EXPECT);
}

/// Removes from an upstream's headers what is not for the caller.
pub(super) fn strip_answer(headers: &mut HeaderMap) {
    strip(headers);
}

/// Whether a header is there with the value 1.
pub(super) fn is_set(headers: &HeaderMap, name: &str) -> bool {
    headers.get(name).is_some_and(|v| v.as_bytes() == b"1")
}

fn strip(headers: &mut HeaderMap) {
    for name in named(headers) {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_TOO {
        headers.remove(name);
    }
}

/// Headers that `Connection` names, and all of our own: neither side may forge them.
fn named(headers: &HeaderMap) -> Vec<HeaderName> {
    let listed = headers.get_all(CONNECTION).iter();
    let listed = listed
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok());
    let own = headers.keys().filter(|n| n.as_str().starts_with(OWN));
    listed.chain(own.cloned()).collect()
}
