//! Filters for the headers, queries and paths of forwarded requests and answers.

/// Prefix of the headers that the system itself sets.
pub const SYSTEM_HEADER_PREFIX: &str = "burdock-";

/// Hop-by-hop headers, which concern a single connection (RFC 9110, section 7.6.1).
pub const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers that carry credentials.
pub const CREDENTIAL_HEADERS: [&str; 3] = ["authorization", "x-api-key", "proxy-authorization"];

/// Returns whether a caller's header is forwarded to the backend server. `name` is in lower case.
///
/// `connection` is the value of the `connection` header, which lists further hop-by-hop headers.
///
/// ```
/// use burdock_decide::headers::is_forwarded_to_backend;
/// assert!(is_forwarded_to_backend("accept", None));
/// assert!(!is_forwarded_to_backend("x-api-key", None));
/// assert!(!is_forwarded_to_backend("burdock-organisation", None));
/// assert!(!is_forwarded_to_backend("x-hop", Some("close, x-hop")));
/// ```
#[must_use]
pub fn is_forwarded_to_backend(name: &str, connection: Option<&str>) -> bool {
    !is_hop_by_hop(name, connection)
        && !CREDENTIAL_HEADERS.contains(&name)
        && !name.starts_with(SYSTEM_HEADER_PREFIX)
}

/// Returns whether a backend server's header is forwarded to the caller. `name` is in lower case.
///
/// `connection` is as in [`is_forwarded_to_backend`].
#[must_use]
pub fn is_forwarded_to_caller(name: &str, connection: Option<&str>) -> bool {
    !is_hop_by_hop(name, connection) && !name.starts_with(SYSTEM_HEADER_PREFIX)
}

fn is_hop_by_hop(name: &str, connection: Option<&str>) -> bool {
    if HOP_BY_HOP.contains(&name) {
        return true;
    }
    connection.is_some_and(|list| list.split(',').any(|item| item.trim().eq_ignore_ascii_case(name)))
}

/// Removes parameters that carry API keys from a query. Returns `None` if no parameter remains.
///
/// ```
/// use burdock_decide::headers::strip_query_credentials;
/// assert_eq!(strip_query_credentials("a=1&api_key=bk.x&b"), Some("a=1&b".to_owned()));
/// assert_eq!(strip_query_credentials("key=bk.a.b"), None);
/// assert_eq!(strip_query_credentials("key=colour"), Some("key=colour".to_owned()));
/// ```
#[must_use]
pub fn strip_query_credentials(query: &str) -> Option<String> {
    let kept: Vec<&str> = query.split('&').filter(|pair| !has_credential(pair)).collect();
    if kept.is_empty() { None } else { Some(kept.join("&")) }
}

fn has_credential(pair: &str) -> bool {
    let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
    let is_key_name = matches!(name.to_ascii_lowercase().as_str(), "api_key" | "x-api-key" | "access_token");
    is_key_name || burdock_model::key::PresentedKey::parse(value).is_some() || value.starts_with("bk.")
}

/// Returns whether a backend server could read a path as another one than the route table does.
///
/// Such a path has dot segments or empty segments, possibly with percent-encoded or backward slashes.
#[must_use]
pub fn is_ambiguous_path(path: &str) -> bool {
    let lower = path.to_ascii_lowercase();
    let decoded = lower.replace("%2e", ".").replace("%2f", "/").replace("%5c", "/").replace('\\', "/");
    decoded.split('/').any(|segment| segment == "." || segment == "..") || decoded.contains("//")
}
