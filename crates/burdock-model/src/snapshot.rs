//! The tree with all settings resolved once per revision, so that requests need not walk the inheritance.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::blocks::BlockTable;
use crate::error::Result;
use crate::hedging::HedgeLimit;
use crate::ids::{
    BackendId, KeyId, OrganisationName, RegionName, Revision, RouteName, ServiceName, ZoneName,
};
use crate::key::PresentedKey;
use crate::resolve::{Scope, resolve};
use crate::settings::ResolvedSettings;
use crate::tree::{OrganisationNode, ServiceNode, Tree};
use crate::units::{Millis, Rate, Size};

/// Index of an organisation within one snapshot.
pub type OrganisationIx = usize;
/// Index of a service within one snapshot.
pub type ServiceIx = usize;
/// Index of a route within one snapshot.
pub type RouteIx = usize;

/// One revision of the configuration, resolved for use by requests.
#[derive(Debug)]
pub struct Snapshot {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Tree that the snapshot was built from.
    pub tree: Tree,
    /// Organisations, sorted by name.
    pub organisations: Vec<Organisation>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Routes: those with a host before those without, then longest prefix first.
    pub routes: Vec<Route>,
    /// Mapping of client blocks to regions.
    pub blocks: Arc<BlockTable>,
    keys: HashMap<KeyId, Key>,
    policies: Vec<Vec<Arc<Policy>>>,
    open_policy: Arc<Policy>,
}

/// Quota and queue weight of an organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Request rate over the whole fleet.
    pub rate: Rate,
    /// Burst over the whole fleet, in requests.
    pub burst: u32,
    /// Weight in the admission queue.
    pub weight: u32,
}

/// Service with its backend servers.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Backend servers, sorted by id.
    pub backends: Vec<Backend>,
}

/// Backend server of a service.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Unique id of the backend server.
    pub id: BackendId,
    /// Address on which the backend server listens.
    pub address: SocketAddr,
    /// Region of the backend server.
    pub region: RegionName,
    /// Availability zone of the backend server.
    pub zone: ZoneName,
    /// Number of requests that it can run at once.
    pub slots: u32,
    /// Whether it is drained and receives no new requests.
    pub draining: bool,
}

/// Route that selects the requests for a service.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Service that the requests go to.
    pub service: ServiceIx,
    /// Host that requests must name; `None` for any host.
    pub host: Option<String>,
    /// Prefix of the request path.
    pub prefix: String,
    /// Whether the route is open to everyone, without a key.
    pub open: bool,
    /// Whether requests may run more than once; `None` lets the method decide.
    pub repeatable: Option<bool>,
}

impl Route {
    /// Returns whether a request with this method may run more than once.
    #[must_use]
    pub fn is_repeatable(&self, method: &str) -> bool {
        self.repeatable.unwrap_or(matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE"))
    }
}

/// Resolved settings of an organisation on a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Whether the organisation may use the route.
    pub allow: bool,
    /// Whether requests may spill over to another region.
    pub spill: bool,
    /// Maximum time that a request may take.
    pub timeout: Millis,
    /// Maximum size of a request body.
    pub body_limit: Size,
    /// Number of attempts after the first.
    pub retries: u8,
    /// Fixed delay before a hedged copy is sent; with zero it is learned.
    pub hedge_after: Millis,
    /// Share of requests for which a hedged copy may be sent; 0 disables hedging.
    pub hedge_limit: HedgeLimit,
}

#[derive(Debug)]
struct Key {
    hash: [u8; 32],
    organisation: OrganisationIx,
}

impl Snapshot {
    /// Builds a snapshot of a checked tree.
    ///
    /// # Errors
    /// [`crate::error::ErrorKind::InvalidTree`] when a key's hash is malformed.
    pub fn new(revision: Revision, tree: Tree, blocks: Arc<BlockTable>) -> Result<Self> {
        let services: Vec<Service> = tree.services.iter().map(|(n, s)| build_service(&tree, n, s)).collect();
        let routes = build_routes(&tree);
        let organisations = tree.organisations.keys().map(|name| build_organisation(&tree, name)).collect();
        let keys = index_keys(&tree)?;
        let policies =
            tree.organisations.iter().map(|(n, o)| build_policies(&tree, n, o, &routes, &services)).collect();
        let fleet = resolve(&tree, Scope { organisation: None, service: None, route: None });
        let open_policy = Arc::new(policy_of(&fleet));
        Ok(Self { revision, tree, organisations, services, routes, blocks, keys, policies, open_policy })
    }

    /// Returns an empty configuration at revision 0.
    ///
    /// ```
    /// let snapshot = burdock_model::prelude::Snapshot::empty();
    /// assert!(snapshot.route(None, "/").is_none());
    /// ```
    #[must_use]
    pub fn empty() -> Self {
        let open_policy = Arc::new(policy_of(&ResolvedSettings::default()));
        Self {
            revision: Revision(0),
            tree: Tree::default(),
            organisations: Vec::new(),
            services: Vec::new(),
            routes: Vec::new(),
            blocks: Arc::default(),
            keys: HashMap::new(),
            policies: Vec::new(),
            open_policy,
        }
    }

    /// Returns the organisation that a presented key belongs to, if the key is valid.
    #[must_use]
    pub fn organisation_of(&self, presented: &str) -> Option<OrganisationIx> {
        let presented = PresentedKey::parse(presented)?;
        let key = self.keys.get(presented.id)?;
        presented.matches(&key.hash).then_some(key.organisation)
    }

    /// Returns the route for a host and path. Routes for the host come before those for any host, then the
    /// longest matching prefix wins.
    #[must_use]
    pub fn route(&self, host: Option<&str>, path: &str) -> Option<RouteIx> {
        let matches = |r: &Route| {
            let host_matches = r
                .host
                .as_deref()
                .is_none_or(|expected| host.is_some_and(|h| h.eq_ignore_ascii_case(expected)));
            host_matches && path.starts_with(&r.prefix)
        };
        self.routes.iter().position(matches)
    }

    /// Returns the policy of an organisation on a route, or that of open routes without an organisation.
    #[must_use]
    pub fn policy(&self, organisation: Option<OrganisationIx>, route: RouteIx) -> &Arc<Policy> {
        let organisation_policy = |o: OrganisationIx| self.policies.get(o)?.get(route);
        organisation.and_then(organisation_policy).unwrap_or(&self.open_policy)
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service_named(&self, name: &str) -> Option<ServiceIx> {
        self.services.binary_search_by(|s| s.name.as_str().cmp(name)).ok()
    }

    /// Returns the organisation with this name.
    #[must_use]
    pub fn organisation_named(&self, name: &str) -> Option<OrganisationIx> {
        self.organisations.binary_search_by(|o| o.name.as_str().cmp(name)).ok()
    }
}

fn build_service(tree: &Tree, name: &ServiceName, node: &ServiceNode) -> Service {
    let backends = node.backends.iter().map(|(id, b)| Backend {
        id: id.clone(),
        address: b.address,
        region: b.region.clone(),
        zone: b.zone.clone(),
        slots: b.slots,
        draining: tree.drains.covers(id, &b.zone, &b.region),
    });
    Service { name: name.clone(), backends: backends.collect() }
}

fn build_routes(tree: &Tree) -> Vec<Route> {
    let mut routes: Vec<Route> = Vec::new();
    for (service, node) in tree.services.values().enumerate() {
        routes.extend(node.routes.iter().map(|(name, r)| Route {
            name: name.clone(),
            service,
            host: r.host.clone(),
            prefix: r.prefix.clone(),
            open: r.open,
            repeatable: r.repeatable,
        }));
    }
    routes.sort_by(|a, b| {
        let by_host = b.host.is_some().cmp(&a.host.is_some());
        by_host.then(b.prefix.len().cmp(&a.prefix.len())).then(a.prefix.cmp(&b.prefix))
    });
    routes
}

fn build_organisation(tree: &Tree, name: &OrganisationName) -> Organisation {
    let settings = resolve(tree, Scope { organisation: Some(name), service: None, route: None });
    Organisation {
        name: name.clone(),
        rate: settings.rate.value,
        burst: settings.burst.value,
        weight: settings.weight.value,
    }
}

fn index_keys(tree: &Tree) -> Result<HashMap<KeyId, Key>> {
    let mut keys = HashMap::new();
    for (organisation, node) in tree.organisations.values().enumerate() {
        for (id, key) in &node.keys {
            let mut hash = [0; 32];
            hex::decode_to_slice(&key.hash, &mut hash).map_err(|e| {
                crate::error::Error::new(crate::error::ErrorKind::InvalidTree, e.to_string()).at(id)
            })?;
            keys.insert(id.clone(), Key { hash, organisation });
        }
    }
    Ok(keys)
}

// Routes of services without overrides share one policy, so that memory grows with overrides only.
fn build_policies(
    tree: &Tree,
    name: &OrganisationName,
    node: &OrganisationNode,
    routes: &[Route],
    services: &[Service],
) -> Vec<Arc<Policy>> {
    let scope = Scope { organisation: Some(name), service: None, route: None };
    let organisation_policy = Arc::new(policy_of(&resolve(tree, scope)));
    let route_policy = |route: &Route| {
        let service = &services[route.service].name;
        let Some(overrides) = node.services.get(service) else {
            return Arc::clone(&organisation_policy);
        };
        let overridden_route = overrides.routes.contains_key(&route.name).then_some(&route.name);
        Arc::new(policy_of(&resolve(
            tree,
            Scope { service: Some(service), route: overridden_route, ..scope },
        )))
    };
    routes.iter().map(route_policy).collect()
}

fn policy_of(settings: &ResolvedSettings) -> Policy {
    Policy {
        allow: settings.allow.value,
        spill: settings.spill.value,
        timeout: settings.timeout.value,
        body_limit: settings.body_limit.value,
        retries: settings.retries.value,
        hedge_after: settings.hedge_after.value,
        hedge_limit: settings.effective_hedge_limit(),
    }
}
