//! Which headers pass from caller to backend server and back, by name only.

/// Prefix of the system's own headers.
pub const SYSTEM_HEADER_PREFIX: &str = "burdock-";

/// Headers that hold for one connection (RFC 9110, 7.6.1).
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

/// Headers that carry keys.
pub const CREDENTIAL_HEADERS: [&str; 3] = ["authorization", "x-api-key", "proxy-authorization"];

/// Whether a caller's header goes on to the backend server. Names are in lower case.
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
    !is_hop(name, connection)
        && !CREDENTIAL_HEADERS.contains(&name)
        && !name.starts_with(SYSTEM_HEADER_PREFIX)
}

/// Whether a backend server's header goes on to the caller. Names are in lower case.
#[must_use]
pub fn is_forwarded_to_caller(name: &str, connection: Option<&str>) -> bool {
    !is_hop(name, connection) && !name.starts_with(SYSTEM_HEADER_PREFIX)
}

fn is_hop(name: &str, connection: Option<&str>) -> bool {
    if HOP_BY_HOP.contains(&name) {
        return true;
    }
    connection.is_some_and(|list| list.split(',').any(|item| item.trim().eq_ignore_ascii_case(name)))
}

/// A query without parameters that carry keys. `None` when nothing is left.
///
/// ```
/// use burdock_decide::headers::strip_query_credentials;
/// assert_eq!(strip_query_credentials("a=1&api_key=bk.x&b"), Some("a=1&b".to_owned()));
/// assert_eq!(strip_query_credentials("key=bk.a.b"), None);
/// assert_eq!(strip_query_credentials("key=colour"), Some("key=colour".to_owned()));
/// ```
#[must_use]
pub fn strip_query_credentials(query: &str) -> Option<String> {
    let kept: Vec<&str> = query.split('&').filter(|pair| !carries_key(pair)).collect();
    if kept.is_empty() { None } else { Some(kept.join("&")) }
}

fn carries_key(pair: &str) -> bool {
    let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
    let named = matches!(name.to_ascii_lowercase().as_str(), "api_key" | "x-api-key" | "access_token");
    named || burdock_model::key::PresentedKey::parse(value).is_some() || value.starts_with("bk.")
}

/// Whether a path could mean another one to the backend server than to the route table.
#[must_use]
pub fn is_ambiguous_path(path: &str) -> bool {
    let lower = path.to_ascii_lowercase();
    let decoded = lower.replace("%2e", ".").replace("%2f", "/").replace("%5c", "/").replace('\\', "/");
    decoded.split('/').any(|segment| segment == "." || segment == "..") || decoded.contains("//")
}
