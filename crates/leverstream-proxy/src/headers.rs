use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Marks a request that another VM has passed on, which is not passed on again; in its answer it names the process that
/// gave it, as a VM's address may belong to another process by now.
pub const RELAYED_HEADER: &str = "leverstream-relayed";

/// By this a backend server says that it drains.
pub const DRAINING_HEADER: &str = "leverstream-draining";

/// Marks a health check.
pub const PROBE_HEADER: &str = "leverstream-probe";

/// The headers that hold for one connection only (RFC 9110, section 7.6.1).
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

/// Copies the headers that go on to the next hop.
///
/// Left out are those that hold for one connection, those that `Connection` names, the length,
/// which the next hop's framing sets, and an expectation that this hop has met already.
pub(crate) fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let named = named_by_connection(headers);
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_left_out = HOP_BY_HOP.contains(name)
            || *name == header::CONTENT_LENGTH
            || *name == header::EXPECT
            || named.iter().any(|other| other.eq_ignore_ascii_case(name.as_str()));
        if !is_left_out {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Names a process in an answer to a request that was passed on.
pub(crate) fn vm_value(id: u64) -> HeaderValue {
    HeaderValue::from(id)
}

/// The process that an answer names.
pub(crate) fn vm_of(value: &HeaderValue) -> Option<u64> {
    value.to_str().ok()?.parse().ok()
}

/// Reads a header as text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// The header names that `Connection` lists.
fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_owned())
        .collect()
}
