//! Resolves settings through the levels of the tree, and checks a whole tree.

use std::collections::{HashMap, HashSet};

use crate::error::{Error, ErrorKind, Result};
use crate::ids::{KeyId, OrganisationName, RouteName, ServiceName};
use crate::settings::{Level, LevelSettings, ResolvedSettings};
use crate::tree::{OrganisationNode, RouteNode, ServiceNode, Tree};

/// Sum of a split in thousandths.
const PER_MILLE: u32 = 1000;

/// Node of the tree whose settings are resolved.
#[derive(Clone, Copy, Debug)]
pub struct Scope<'a> {
    /// Organisation; `None` for the fleet.
    pub organisation: Option<&'a OrganisationName>,
    /// Service within the organisation.
    pub service: Option<&'a ServiceName>,
    /// Route within the service.
    pub route: Option<&'a RouteName>,
}

/// Resolves the settings in force at a node, each with the level that set it.
///
/// ```
/// use burdock_model::prelude::*;
/// use burdock_model::resolve::{resolve, Scope};
/// use burdock_model::settings::Level;
/// let tree = Tree::from_value(&serde_json::json!({
///     "settings": {"rate": "10/s"},
///     "organisations": {"small": {"settings": {"burst": 5}}}
/// })).unwrap();
/// let small = OrganisationName::new("small").unwrap();
/// let settings = resolve(&tree, Scope { organisation: Some(&small), service: None, route: None });
/// assert_eq!(settings.rate.from, Level::Fleet);
/// assert_eq!(settings.burst.value, 5);
/// ```
#[must_use]
pub fn resolve(tree: &Tree, scope: Scope<'_>) -> ResolvedSettings {
    let fleet_settings = ResolvedSettings::default().overlay(&tree.settings, Level::Fleet);
    let Some(organisation) = scope.organisation.and_then(|name| tree.organisations.get(name)) else {
        return fleet_settings;
    };
    let organisation_settings = fleet_settings.overlay(&organisation.settings, Level::Organisation);
    let Some(service) = scope.service.and_then(|name| organisation.services.get(name)) else {
        return organisation_settings;
    };
    let service_settings = organisation_settings.overlay(&service.settings, Level::Service);
    let Some(route) = scope.route.and_then(|name| service.routes.get(name)) else {
        return service_settings;
    };
    service_settings.overlay(&route.settings, Level::Route)
}

/// Checks the constraints between parts of a tree that deserialization does not check.
///
/// # Errors
/// [`ErrorKind::InvalidTree`] with the first violation.
pub fn check(tree: &Tree) -> Result<()> {
    check_resolved(&resolve(tree, Scope { organisation: None, service: None, route: None }), "settings")?;
    check_services(tree)?;
    check_keys(tree)?;
    for (name, organisation) in &tree.organisations {
        check_organisation(tree, name, organisation)?;
    }
    Ok(())
}

fn check_services(tree: &Tree) -> Result<()> {
    let mut prefixes = HashSet::new();
    let mut ids = HashSet::new();
    for (name, service) in &tree.services {
        let at = format!("services.{name}");
        check_split(tree, service).map_err(|e| e.at(&at))?;
        for (id, backend) in &service.backends {
            if !ids.insert(id) {
                return Err(invalid_tree(
                    format!("{at}.backends: id `{id}` is used twice"),
                    "give each backend server its own id",
                ));
            }
            if backend.slots == 0 {
                return Err(invalid_tree(format!("{at}.backends.{id}: slots is 0"), "write 1 or more"));
            }
        }
        for (route_name, route) in &service.routes {
            let at = format!("{at}.routes.{route_name}");
            check_route(route).map_err(|e| e.at(&at))?;
            if !prefixes.insert((route.host.clone(), route.prefix.clone())) {
                return Err(invalid_tree(
                    format!("{at}: prefix `{}` is used twice for the same host", route.prefix),
                    "give each route its own prefix",
                ));
            }
        }
    }
    Ok(())
}

fn check_split(tree: &Tree, service: &ServiceNode) -> Result<()> {
    if service.split_per_mille.is_empty() {
        return Ok(());
    }
    if let Some(unknown) = service.split_per_mille.keys().find(|r| !tree.regions.contains_key(*r)) {
        return Err(invalid_tree(
            format!("split_per_mille has unknown region `{unknown}`"),
            "name a region under `regions`",
        ));
    }
    let sum: u32 = service.split_per_mille.values().sum();
    if sum != PER_MILLE {
        return Err(invalid_tree(format!("split_per_mille adds up to {sum}"), "make it add up to 1000"));
    }
    Ok(())
}

fn check_route(route: &RouteNode) -> Result<()> {
    if !route.prefix.starts_with('/') {
        return Err(invalid_tree(format!("invalid prefix `{}`", route.prefix), "a prefix starts with `/`"));
    }
    if route.prefix.starts_with("/.burdock/") {
        return Err(invalid_tree("prefix is under `/.burdock/`", "`/.burdock/` is reserved for the system"));
    }
    Ok(())
}

fn check_organisation(tree: &Tree, name: &OrganisationName, organisation: &OrganisationNode) -> Result<()> {
    let at = format!("organisations.{name}");
    let scope = Scope { organisation: Some(name), service: None, route: None };
    check_resolved(&resolve(tree, scope), &at)?;
    for (service_name, service) in &organisation.services {
        let at = format!("{at}.services.{service_name}");
        let Some(definition) = tree.services.get(service_name) else {
            return Err(invalid_tree(format!("{at}: no such service"), "define it under `services` first"));
        };
        check_organisation_only_fields(&service.settings, &at)?;
        let scope = Scope { service: Some(service_name), ..scope };
        check_resolved(&resolve(tree, scope), &at)?;
        for (route_name, route) in &service.routes {
            let at = format!("{at}.routes.{route_name}");
            check_override(definition, route_name, &at)?;
            check_organisation_only_fields(&route.settings, &at)?;
            check_resolved(&resolve(tree, Scope { route: Some(route_name), ..scope }), &at)?;
        }
    }
    Ok(())
}

fn check_keys(tree: &Tree) -> Result<()> {
    let mut owners: HashMap<&KeyId, &OrganisationName> = HashMap::new();
    for (name, organisation) in &tree.organisations {
        for (id, key) in &organisation.keys {
            let at = format!("organisations.{name}.keys.{id}");
            if hex::decode(&key.hash).map(|h| h.len()) != Ok(32) {
                let detail = format!("{at}: hash is not 64 hexadecimal digits");
                return Err(invalid_tree(detail, "create keys through the admin API"));
            }
            if let Some(owner) = owners.insert(id, name) {
                let detail = format!("{at}: `{owner}` has a key with this id");
                return Err(invalid_tree(detail, "give each key its own id"));
            }
        }
    }
    Ok(())
}

fn check_override(service: &ServiceNode, route: &RouteName, at: &str) -> Result<()> {
    match service.routes.get(route) {
        None => Err(invalid_tree(format!("{at}: no such route"), "define it under the service first")),
        Some(definition) if definition.open => Err(invalid_tree(
            format!("{at}: the service opens this route to all, so an organisation cannot override it"),
            "remove the override or close the route",
        )),
        Some(_) => Ok(()),
    }
}

fn check_organisation_only_fields(settings: &LevelSettings, at: &str) -> Result<()> {
    let fields = [
        ("rate", settings.rate.is_some()),
        ("burst", settings.burst.is_some()),
        ("weight", settings.weight.is_some()),
    ];
    match fields.into_iter().find(|(_, set)| *set) {
        Some((field, _)) => Err(invalid_tree(
            format!("{at}.settings.{field}: set at the wrong level"),
            "set it for the fleet or for an organisation",
        )),
        None => Ok(()),
    }
}

fn check_resolved(settings: &ResolvedSettings, at: &str) -> Result<()> {
    if settings.burst.value == 0 && settings.rate.value.micros_per_second() > 0 {
        return Err(invalid_tree(
            format!("{at}: burst is 0 though rate is {}", settings.rate.value),
            "write a burst of 1 or more",
        ));
    }
    if settings.weight.value == 0 {
        return Err(invalid_tree(format!("{at}: weight is 0"), "write a weight of 1 or more"));
    }
    if settings.timeout.value.0 == 0 {
        return Err(invalid_tree(format!("{at}: timeout is 0"), "write a timeout of 1ms or more"));
    }
    let hedge = settings.hedge_after;
    if hedge.value.0 > 0 && hedge.value >= settings.timeout.value {
        return Err(invalid_tree(
            format!(
                "{at}: hedge_after {} (set at {:?}) contradicts timeout {} (set at {:?})",
                hedge.value, hedge.from, settings.timeout.value, settings.timeout.from
            ),
            "make hedge_after shorter than timeout",
        ));
    }
    Ok(())
}

fn invalid_tree(detail: impl Into<String>, hint: &str) -> Error {
    Error::new(ErrorKind::InvalidTree, detail).hint(hint)
}
