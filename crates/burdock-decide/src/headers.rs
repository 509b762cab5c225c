//! Which headers pass from caller to backend server and back, by name only.

/// Prefix of the system's own headers.
pub const OWN_PREFIX: &str = "burdock-";

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
pub const KEY_HEADERS: [&str; 3] = ["authorization", "x-api-key", "proxy-authorization"];

/// Whether a caller's header goes on to the backend server. Names are in lower case.
///
/// ```
/// use burdock_decide::headers::to_backend;
/// assert!(to_backend("accept", None));
/// assert!(!to_backend("x-api-key", None));
/// assert!(!to_backend("burdock-organisation", None));
/// assert!(!to_backend("x-hop", Some("close, x-hop")));
/// ```
#[must_use]
pub fn to_backend(name: &str, connection: Option<&str>) -> bool {
    !is_hop(name, connection) && !KEY_HEADERS.contains(&name) && !name.starts_with(OWN_PREFIX)
}

/// Whether a backend server's header goes on to the caller. Names are in lower case.
#[must_use]
pub fn to_caller(name: &str, connection: Option<&str>) -> bool {
    !is_hop(name, connection) && !name.starts_with(OWN_PREFIX)
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
/// use burdock_decide::headers::query_without_keys;
/// assert_eq!(query_without_keys("a=1&api_key=bk.x&b"), Some("a=1&b".to_owned()));
/// assert_eq!(query_without_keys("key=bk.a.b"), None);
/// assert_eq!(query_without_keys("key=colour"), Some("key=colour".to_owned()));
/// ```
#[must_use]
pub fn query_without_keys(query: &str) -> Option<String> {
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
