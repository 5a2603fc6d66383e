//! The headers that leverstream sets itself, and the headers that it forwards.

use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Marks a request that another VM has relayed, so that it is not relayed again. In the answer it
/// holds the id of the process that answers, as another process may now use the VM's address.
pub const RELAYED_HEADER: &str = "leverstream-relayed";

/// Announces in an answer that the backend server drains.
pub const DRAINING_HEADER: &str = "leverstream-draining";

/// Marks a health check.
pub const PROBE_HEADER: &str = "leverstream-probe";

/// The hop-by-hop headers (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Copies the headers to forward to the next hop.
///
/// Omits hop-by-hop headers, those that `Connection` lists, `Content-Length`, which the framing of
/// the next hop sets, and `Expect`, which this hop has already met.
pub(crate) fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let listed = listed_in_connection(headers);
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_left_out = HOP_BY_HOP.contains(name)
            || *name == header::CONTENT_LENGTH
            || *name == header::EXPECT
            || listed.iter().any(|other| other.eq_ignore_ascii_case(name.as_str()));
        if !is_left_out {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Formats a process id for the answer to a relayed request.
pub(crate) fn process_id_value(id: u64) -> HeaderValue {
    HeaderValue::from(id)
}

/// Parses the process id in the answer to a relayed request.
pub(crate) fn parse_process_id(value: &HeaderValue) -> Option<u64> {
    value.to_str().ok()?.parse().ok()
}

/// The value of a header, if it is valid text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// The header names that `Connection` lists.
fn listed_in_connection(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_owned())
        .collect()
}
