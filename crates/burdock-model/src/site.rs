//! What one deployment consists of, as its operators publish it: routes, services, organisations, and the
//! backend servers that register themselves.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use crate::error::{Error, ErrorKind, Result};
use crate::ids::{BackendId, OrganisationName, RegionName, RouteName, ServiceName, ZoneName};

/// One published version of a deployment's configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteConfig {
    /// Only a higher version replaces a lower one.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// All organisations. With none, no request needs a key.
    pub organisations: Vec<Organisation>,
    /// What callers may send.
    pub caller_limits: CallerLimits,
}

/// Requests that are treated alike.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// The host it belongs to, in lower case.
    pub host: String,
    /// How its paths begin. It begins and ends with a slash.
    pub prefix: String,
    /// The services it goes to, with the part that each gets.
    pub targets: Vec<Target>,
    /// Requests may run more than once.
    pub repeatable: bool,
    /// The longest that a request may be kept.
    pub time_limit: Duration,
    /// The time within which an answer is of full use to its caller.
    pub latency_target: Duration,
    /// Backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// 0 is the most urgent.
    pub urgency: u32,
    /// No key is needed.
    pub open: bool,
    /// Requests for the same object are best sent to the same backend server.
    pub affinity: bool,
    /// The only regions that may run it; empty for all.
    pub regions: Vec<RegionName>,
}

/// A service that a route goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// An index into the plan's services.
    pub service: usize,
    /// Its part, relative to the others.
    pub weight: f64,
}

/// Backend servers that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one backend server accepts from all instances together.
    pub max_connections: u32,
    /// How long a backend server stays cold after its start.
    pub cold_time: Duration,
    /// Requests a second that a cold backend server bears.
    pub cold_rate: f64,
}

/// An organisation with its keys and its allowance.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationName,
    /// Its keys.
    pub keys: Vec<String>,
    /// Goes before the urgency of routes where given.
    pub urgency: Option<u32>,
    /// Requests a second over all instances; 0 for no limit.
    pub rate: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
    /// The only regions that may run its requests; empty for all.
    pub regions: Vec<RegionName>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// The longest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// The longest body, in bytes.
    pub max_body_bytes: u64,
    /// The longest time for a head to arrive.
    pub header_timeout: Duration,
    /// The longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A backend server as it registered itself.
#[derive(Clone, Debug, PartialEq)]
pub struct RegisteredBackend {
    /// Its id, unique in the deployment.
    pub id: BackendId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests it works on at once.
    pub slots: u32,
    /// It is leaving and wants no more work.
    pub draining: bool,
    /// How much longer it is cold, counted from when this was written.
    pub remaining_cold_time: Duration,
    /// When it started, in Unix milliseconds; differs between two lives under one id.
    pub started_ms: u64,
}

/// An entry instance as it registered itself.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RegisteredInstance {
    /// Its id.
    pub id: crate::ids::InstanceId,
    /// Its life.
    pub incarnation: crate::ids::Incarnation,
    /// Its region.
    pub region: RegionName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where other instances reach it.
    pub peers: SocketAddr,
    /// How much it can carry for others, as a class.
    #[serde(default, rename = "strength")]
    pub capacity_class: u32,
    /// Cores that it may use.
    #[serde(default)]
    pub cores: f64,
}

/// A change of what the deployment consists of.
#[derive(Clone, Debug, PartialEq)]
pub enum SiteChange {
    /// A configuration was published.
    Config(SiteConfig),
    /// A backend server registered or changed; `None` when its entry is gone or unreadable.
    Backend(BackendId, Option<RegisteredBackend>),
    /// An availability zone is to be emptied, or is so no longer.
    Evacuation(ZoneName, bool),
    /// An instance registered, or its entry is gone.
    Instance(crate::ids::InstanceId, Option<RegisteredInstance>),
    /// How many instances the fleet had when that was last written; it outlives their entries.
    FleetSize(usize),
}

/// A plan with what is needed to look things up.
#[derive(Debug, Default)]
pub struct SiteConfigIndex {
    /// The plan.
    pub config: SiteConfig,
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, usize>,
    services: BTreeMap<ServiceName, usize>,
}

impl SiteConfigIndex {
    /// Prepares a plan for look-ups.
    #[must_use]
    pub fn new(config: SiteConfig) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (ix, route) in config.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(ix);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|ix| std::cmp::Reverse(config.routes[*ix].prefix.len()));
        }
        let mut by_key = HashMap::new();
        for (ix, organisation) in config.organisations.iter().enumerate() {
            by_key.extend(organisation.keys.iter().map(|key| (key.clone(), ix)));
        }
        let services = config.services.iter().enumerate().map(|(ix, s)| (s.name.clone(), ix)).collect();
        Self { config, by_host, by_key, services }
    }

    /// The route of a request: the longest prefix of its host. A port in the host is passed over.
    ///
    /// ```
    /// use burdock_model::site::SiteConfigIndex;
    /// assert_eq!(SiteConfigIndex::default().route("a.example", "/x/1"), None);
    /// ```
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<usize> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let found = self.by_host.get(name).or_else(|| self.by_host.get(&name.to_ascii_lowercase()))?;
        found.iter().copied().find(|ix| path.starts_with(&self.config.routes[*ix].prefix))
    }

    /// The organisation that holds a key.
    #[must_use]
    pub fn organisation_of(&self, key: &str) -> Option<usize> {
        self.by_key.get(key).copied()
    }

    /// The index of a service.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<usize> {
        self.services.get(name).copied()
    }

    /// Whether a configuration has been published yet.
    #[must_use]
    pub const fn is_published(&self) -> bool {
        self.config.version > 0
    }
}

impl SiteConfig {
    /// Checks that the parts of a plan fit together.
    ///
    /// # Errors
    /// [`ErrorKind::InvalidTree`] with the route or service that does not.
    pub fn check(&self) -> Result<()> {
        let invalid = |detail: String| Err(Error::new(ErrorKind::InvalidTree, detail));
        if self.version == 0 {
            return invalid("a plan has no version".to_owned());
        }
        for route in &self.routes {
            let total: f64 = route.targets.iter().map(|t| t.weight).sum();
            let prefix = &route.prefix;
            if route.host.is_empty() || !prefix.starts_with('/') || !prefix.ends_with('/') {
                return invalid(format!("route `{}` lacks a host or a prefix between slashes", route.name));
            }
            if !total.is_finite() || total <= 0.0 || route.targets.iter().any(|t| t.weight < 0.0) {
                return invalid(format!("route `{}` goes to no service", route.name));
            }
            if route.targets.iter().any(|t| t.service >= self.services.len()) {
                return invalid(format!("route `{}` goes to an unknown service", route.name));
            }
        }
        Ok(())
    }
}
