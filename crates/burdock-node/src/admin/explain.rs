//! Explains which route, policy and backend servers apply to a request.

use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::resolve::{Scope, resolve};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::active_config::ActiveConfig;

/// The request to explain.
#[derive(Debug, Deserialize)]
pub struct ExplainQuery {
    /// Organisation that sends the request.
    #[serde(default)]
    pub organisation: Option<String>,
    /// Path of the request's target.
    pub path: String,
    /// Host of the request's target.
    #[serde(default)]
    pub host: Option<String>,
    /// Method of the request.
    #[serde(default = "default_method")]
    pub method: String,
}

/// Returns the route, policy and regions for a request, with the level that each setting comes from.
///
/// # Errors
/// [`ErrorKind::NoRoute`] when no route matches, [`ErrorKind::NoSuchPath`] for an unknown organisation.
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

fn default_method() -> String {
    "GET".to_owned()
}
