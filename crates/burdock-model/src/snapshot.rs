//! The tree resolved once a revision, so that a request walks no inheritance.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::blocks::BlockTable;
use crate::error::Result;
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

/// One revision of the configuration in the form that requests use.
#[derive(Debug)]
pub struct Snapshot {
    /// The revision.
    pub revision: Revision,
    /// The tree it was made from.
    pub tree: Tree,
    /// Organisations in order of name.
    pub organisations: Vec<Organisation>,
    /// Services in order of name.
    pub services: Vec<Service>,
    /// Routes, longest prefix first, those with a host before those without.
    pub routes: Vec<Route>,
    /// Client blocks mapped to regions.
    pub blocks: Arc<BlockTable>,
    keys: HashMap<KeyId, Key>,
    policies: Vec<Vec<Arc<Policy>>>,
    open_policy: Arc<Policy>,
}

/// An organisation's limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationName,
    /// Its rate over the whole fleet.
    pub rate: Rate,
    /// Its burst over the whole fleet, in requests.
    pub burst: u32,
    /// Its weight in the admission queue.
    pub weight: u32,
}

/// A service with its backend servers.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Its backend servers.
    pub backends: Vec<Backend>,
}

/// A backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Its id.
    pub id: BackendId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its region.
    pub region: RegionName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests it works on at once.
    pub slots: u32,
    /// It gets no new work.
    pub draining: bool,
}

/// A route.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// The service it leads to.
    pub service: ServiceIx,
    /// Only for this host.
    pub host: Option<String>,
    /// Only for paths that start with this.
    pub prefix: String,
    /// Open to all.
    pub open: bool,
    /// Whether its requests may run twice; by method where `None`.
    pub repeatable: Option<bool>,
}

impl Route {
    /// Whether a request by this method may run more than once.
    #[must_use]
    pub fn is_repeatable(&self, method: &str) -> bool {
        self.repeatable.unwrap_or(matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE"))
    }
}

/// What holds for one organisation on one route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// The organisation may use the route.
    pub allow: bool,
    /// Requests may go to another region.
    pub spill: bool,
    /// The longest time a request may take.
    pub timeout: Millis,
    /// The longest body.
    pub body_limit: Size,
    /// Further attempts after the first.
    pub retries: u8,
    /// When to send a second copy; zero for never.
    pub hedge_after: Millis,
}

#[derive(Debug)]
struct Key {
    hash: [u8; 32],
    organisation: OrganisationIx,
}

impl Snapshot {
    /// Resolves a checked tree.
    ///
    /// # Errors
    /// [`crate::error::ErrorKind::InvalidTree`] when a key's hash is malformed.
    pub fn new(revision: Revision, tree: Tree, blocks: Arc<BlockTable>) -> Result<Self> {
        let services: Vec<Service> = tree.services.iter().map(|(n, s)| service(&tree, n, s)).collect();
        let routes = routes(&tree);
        let organisations = tree.organisations.keys().map(|name| organisation(&tree, name)).collect();
        let keys = keys(&tree)?;
        let policies =
            tree.organisations.iter().map(|(n, o)| policies(&tree, n, o, &routes, &services)).collect();
        let fleet = resolve(&tree, Scope { organisation: None, service: None, route: None });
        let open_policy = Arc::new(policy(&fleet));
        Ok(Self { revision, tree, organisations, services, routes, blocks, keys, policies, open_policy })
    }

    /// An empty configuration at revision zero.
    ///
    /// ```
    /// let snapshot = burdock_model::prelude::Snapshot::empty();
    /// assert!(snapshot.route(None, "/").is_none());
    /// ```
    #[must_use]
    pub fn empty() -> Self {
        let open_policy = Arc::new(policy(&ResolvedSettings::default()));
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

    /// The organisation that a presented key belongs to.
    #[must_use]
    pub fn organisation_of(&self, presented: &str) -> Option<OrganisationIx> {
        let presented = PresentedKey::parse(presented)?;
        let key = self.keys.get(presented.id)?;
        presented.matches(&key.hash).then_some(key.organisation)
    }

    /// The route for a host and path: the longest prefix, a named host before any host.
    #[must_use]
    pub fn route(&self, host: Option<&str>, path: &str) -> Option<RouteIx> {
        let matches = |r: &Route| {
            let host_fits =
                r.host.as_deref().is_none_or(|want| host.is_some_and(|h| h.eq_ignore_ascii_case(want)));
            host_fits && path.starts_with(&r.prefix)
        };
        self.routes.iter().position(matches)
    }

    /// What holds for an organisation on a route, or for everybody on an open route.
    #[must_use]
    pub fn policy(&self, organisation: Option<OrganisationIx>, route: RouteIx) -> &Arc<Policy> {
        let of = |o: OrganisationIx| self.policies.get(o)?.get(route);
        organisation.and_then(of).unwrap_or(&self.open_policy)
    }

    /// The service of this name.
    #[must_use]
    pub fn service_named(&self, name: &str) -> Option<ServiceIx> {
        self.services.binary_search_by(|s| s.name.as_str().cmp(name)).ok()
    }

    /// The organisation of this name.
    #[must_use]
    pub fn organisation_named(&self, name: &str) -> Option<OrganisationIx> {
        self.organisations.binary_search_by(|o| o.name.as_str().cmp(name)).ok()
    }
}

fn service(tree: &Tree, name: &ServiceName, node: &ServiceNode) -> Service {
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

fn routes(tree: &Tree) -> Vec<Route> {
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

fn organisation(tree: &Tree, name: &OrganisationName) -> Organisation {
    let settings = resolve(tree, Scope { organisation: Some(name), service: None, route: None });
    Organisation {
        name: name.clone(),
        rate: settings.rate.value,
        burst: settings.burst.value,
        weight: settings.weight.value,
    }
}

fn keys(tree: &Tree) -> Result<HashMap<KeyId, Key>> {
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

// Routes without an override share their service's policy, so memory grows with overrides only.
fn policies(
    tree: &Tree,
    name: &OrganisationName,
    node: &OrganisationNode,
    routes: &[Route],
    services: &[Service],
) -> Vec<Arc<Policy>> {
    let scope = Scope { organisation: Some(name), service: None, route: None };
    let base = Arc::new(policy(&resolve(tree, scope)));
    let of = |route: &Route| {
        let service = &services[route.service].name;
        let Some(overrides) = node.services.get(service) else {
            return Arc::clone(&base);
        };
        let inner = overrides.routes.contains_key(&route.name).then_some(&route.name);
        Arc::new(policy(&resolve(tree, Scope { service: Some(service), route: inner, ..scope })))
    };
    routes.iter().map(of).collect()
}

fn policy(settings: &ResolvedSettings) -> Policy {
    Policy {
        allow: settings.allow.value,
        spill: settings.spill.value,
        timeout: settings.timeout.value,
        body_limit: settings.body_limit.value,
        retries: settings.retries.value,
        hedge_after: settings.hedge_after.value,
    }
}
