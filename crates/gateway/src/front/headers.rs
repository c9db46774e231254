//! Validates request heads and removes hop-by-hop headers from forwarded messages.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode, Version};

use super::refusal::Refusal;

/// Hop-by-hop headers, in addition to the headers that `Connection` lists.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
];

/// Hop-by-hop headers without a constant in the HTTP library.
const OTHER_HOP_BY_HOP_HEADERS: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Removes hop-by-hop headers and `Content-Length`, which is set again when the message is written.
pub(super) fn strip_hop_by_hop_headers(
    headers: &mut HeaderMap,
    is_essential: impl Fn(&HeaderName) -> bool,
) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !is_essential(name) && *name != HOST)
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    for name in OTHER_HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
}

/// Checks a request's head beyond the checks of the HTTP library, and returns the host.
///
/// # Errors
///
/// Returns the refusal for a request whose head is ambiguous, unsupported or too long.
pub(super) fn check_head(parts: &Parts, max_head_bytes: usize) -> Result<String, Refusal> {
    let bad =
        |remedy: &str| Err(Refusal::new(StatusCode::BAD_REQUEST, "bad request", remedy).closing());
    if parts.version != Version::HTTP_11 {
        let remedy = "speak HTTP/1.1";
        return Err(
            Refusal::new(StatusCode::HTTP_VERSION_NOT_SUPPORTED, "bad request", remedy).closing()
        );
    }
    if head_bytes(parts) > max_head_bytes {
        let remedy = "the request's head is too long; send less";
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(Refusal::new(status, "long head", remedy).closing());
    }
    if parts.method == Method::CONNECT {
        return bad("CONNECT is not served here");
    }
    if parts.headers.contains_key(TRANSFER_ENCODING) && parts.headers.contains_key(CONTENT_LENGTH) {
        return bad("give a length or chunks, not both");
    }
    let mut hosts = parts.headers.get_all(HOST).iter();
    match (hosts.next().and_then(|host| host.to_str().ok()), hosts.next()) {
        (Some(host), None) => Ok(host.to_owned()),
        _ => bad("give exactly one Host"),
    }
}

fn head_bytes(parts: &Parts) -> usize {
    // Each header line adds a colon, a space, CR and LF.
    let headers: usize = parts.headers.iter().map(|(n, v)| n.as_str().len() + v.len() + 4).sum();
    let line =
        parts.method.as_str().len() + parts.uri.path_and_query().map_or(1, |p| p.as_str().len());
    headers + line + " HTTP/1.1\r\n ".len()
}
