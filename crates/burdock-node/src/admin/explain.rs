//! Explaining what would happen to a request.

use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::resolve::{Scope, resolve};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::active_config::ActiveConfig;

/// What is asked.
#[derive(Debug, Deserialize)]
pub struct ExplainQuery {
    /// The organisation.
    #[serde(default)]
    pub organisation: Option<String>,
    /// The path.
    pub path: String,
    /// The host.
    #[serde(default)]
    pub host: Option<String>,
    /// The method.
    #[serde(default = "get")]
    pub method: String,
}

/// The route, policy and backend servers for a request, with the level that each setting comes from.
///
/// # Errors
/// [`ErrorKind::NoRoute`] and [`ErrorKind::NoSuchPath`].
pub fn explain(active_config: &ActiveConfig, query: &ExplainQuery) -> Result<Value> {
    let snapshot = &active_config.snapshot;
    let route_ix = snapshot
        .route(query.host.as_deref(), &query.path)
        .ok_or_else(|| Error::new(ErrorKind::NoRoute, format!("no route for `{}`", query.path)))?;
    let route = &snapshot.routes[route_ix];
    let service = &active_config.services[route.service];
    let organisation = match &query.organisation {
        None => None,
        Some(name) => Some(
            snapshot
                .organisation_named(name)
                .ok_or_else(|| Error::new(ErrorKind::NoSuchPath, format!("no organisation `{name}`")))?,
        ),
    };
    let name = organisation.map(|ix| &snapshot.organisations[ix].name);
    let scope = Scope { organisation: name, service: Some(&service.name), route: Some(&route.name) };
    let policy = snapshot.policy(organisation, route_ix);
    Ok(json!({
        "service": service.name,
        "route": route.name,
        "prefix": route.prefix,
        "open": route.open,
        "repeatable": route.is_repeatable(&query.method),
        "allowed": policy.allow,
        "settings": resolve(&snapshot.tree, scope),
        "regions": service.regions.iter().map(|r| &r.name).collect::<Vec<_>>(),
        "split": service.split.load().per_million,
    }))
}

fn get() -> String {
    "GET".to_owned()
}
