//! Configuration of one deployment on the platform: the routes, services and organisations that operators
//! publish, and the backend servers and instances that register themselves.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use crate::error::Result;
use crate::hedging::HedgeLimits;
use crate::ids::{BackendId, OrganisationName, RegionName, RouteName, ServiceName, ZoneName};
use crate::site_check::Finding;

/// Published version of a deployment's configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteConfig {
    /// Version number. Only a higher version replaces a lower one.
    pub version: u64,
    /// Routes of the deployment.
    pub routes: Vec<Route>,
    /// Services of the deployment.
    pub services: Vec<Service>,
    /// Organisations of the deployment. Without any, requests need no key.
    pub organisations: Vec<Organisation>,
    /// Limits on what callers may send.
    pub caller_limits: CallerLimits,
}

/// Rule for all requests with the same host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Host that requests must name, in lower case.
    pub host: String,
    /// Prefix of the request paths. It begins and ends with a slash.
    pub prefix: String,
    /// Services that the requests go to, with the weight of each.
    pub targets: Vec<Target>,
    /// Whether requests may run more than once.
    pub repeatable: bool,
    /// Maximum time that a request may take.
    pub time_limit: Duration,
    /// Latency within which an answer has its full value to the caller.
    pub latency_target: Duration,
    /// Maximum number of backend servers that a request may be sent to.
    pub max_attempts: u32,
    /// Urgency of the requests; 0 is the most urgent.
    pub urgency: u32,
    /// Whether requests need no key.
    pub open: bool,
    /// Whether requests for the same object should go to the same backend server.
    pub affinity: bool,
    /// Regions that may run the requests; empty for all.
    pub regions: Vec<RegionName>,
}

/// Service that a route sends requests to.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Index into [`SiteConfig::services`].
    pub service: usize,
    /// Weight relative to the route's other targets.
    pub weight: f64,
}

/// Set of backend servers that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Maximum number of connections to one backend server, from all instances together.
    pub max_connections: u32,
    /// Time after its start during which a backend server counts as cold.
    pub cold_time: Duration,
    /// Requests per second that a cold backend server can take.
    pub cold_rate: f64,
    /// Path of the status check of a backend server, if there is one.
    pub status_path: Option<String>,
}

/// Organisation with its keys and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// API keys of the organisation.
    pub keys: Vec<String>,
    /// Urgency that overrides that of the routes, if given.
    pub urgency: Option<u32>,
    /// Requests per second over all instances; 0 for no limit.
    pub rate: f64,
    /// Requests above the rate that may arrive at once.
    pub burst: f64,
    /// Regions that may run its requests; empty for all.
    pub regions: Vec<RegionName>,
}

/// Limits on what callers may send and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request's header section in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: u64,
    /// Maximum time for a request's header section to arrive.
    pub header_timeout: Duration,
    /// Maximum time that a connection may be idle.
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

/// Registration of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct RegisteredBackend {
    /// Unique id of the backend server in the deployment.
    pub id: BackendId,
    /// Service that the backend server belongs to.
    pub service: ServiceName,
    /// Address on which the backend server listens.
    pub address: SocketAddr,
    /// Availability zone of the backend server.
    pub zone: ZoneName,
    /// Number of requests that it can run at once.
    pub slots: u32,
    /// Whether the backend server is shutting down and accepts no new requests.
    pub draining: bool,
    /// Remaining time that it counts as cold, from the moment the registration was written.
    pub remaining_cold_time: Duration,
    /// Start time in Unix milliseconds, which tells successive processes under one id apart.
    pub started_ms: u64,
    /// Number of the report among those of the process. A process that starts counts anew.
    pub sequence: u64,
}

/// Registration of an instance.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RegisteredInstance {
    /// Unique id of the instance in the deployment.
    pub id: crate::ids::InstanceId,
    /// Incarnation number of the instance.
    pub incarnation: crate::ids::Incarnation,
    /// Region of the instance.
    pub region: RegionName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Address on which callers reach the instance.
    pub callers: SocketAddr,
    /// Address on which other instances reach the instance.
    pub peers: SocketAddr,
    /// Class of the instance's capacity to carry traffic for others; see `SiteSettings::capacity_class`.
    #[serde(default, rename = "strength")]
    pub capacity_class: u32,
    /// Number of cores that the instance may use.
    #[serde(default)]
    pub cores: f64,
}

impl RegisteredInstance {
    /// Returns the weight of the instance when allowances are divided.
    #[must_use]
    pub fn weight(&self) -> u32 {
        allowance_weight(self.capacity_class)
    }
}

/// Returns the weight of an instance of a capacity class when allowances are divided: its capacity relative to
/// the smallest one.
///
/// ```
/// use burdock_model::site::allowance_weight;
/// assert_eq!((allowance_weight(0), allowance_weight(6)), (1, 64));
/// ```
#[must_use]
pub fn allowance_weight(capacity_class: u32) -> u32 {
    const MAX_CLASS: u32 = 12;
    1 << capacity_class.min(MAX_CLASS)
}

/// Change to the state of a deployment that the store reports.
#[derive(Clone, Debug, PartialEq)]
pub enum SiteChange {
    /// A configuration was published.
    Config(SiteConfig),
    /// A backend server registered or changed; `None` when its entry is gone or unreadable.
    Backend(BackendId, Option<RegisteredBackend>),
    /// The evacuation of an availability zone began (`true`) or ended (`false`).
    Evacuation(ZoneName, bool),
    /// An instance registered; `None` when its entry is gone.
    Instance(crate::ids::InstanceId, Option<RegisteredInstance>),
    /// Number of instances in the fleet when it was last written. The record outlives the instances' entries.
    FleetSize(usize),
    /// Sum of the weights of the instances in the fleet when it was last written.
    FleetWeight(u64),
    /// Limits on second copies of requests; `None` when the record is gone.
    Hedging(Option<HedgeLimits>),
}

/// A deployment's configuration with indices for look-ups.
#[derive(Debug, Default)]
pub struct SiteConfigIndex {
    /// Configuration as it was published.
    pub published: SiteConfig,
    routes_by_host: HashMap<String, Vec<usize>>,
    // Hosts without homes are missing.
    homes_by_host: HashMap<String, Vec<RegionName>>,
    organisation_by_key: HashMap<String, usize>,
    service_by_name: BTreeMap<ServiceName, usize>,
}

impl SiteConfigIndex {
    /// Builds the indices of a configuration.
    #[must_use]
    pub fn new(config: SiteConfig) -> Self {
        let mut routes_by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (ix, route) in config.routes.iter().enumerate() {
            routes_by_host.entry(route.host.clone()).or_default().push(ix);
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|ix| std::cmp::Reverse(config.routes[*ix].prefix.len()));
        }
        let homes_by_host = routes_by_host
            .iter()
            .filter_map(|(host, routes)| Some((host.clone(), common_homes(&config, routes)?)))
            .collect();
        let mut organisation_by_key = HashMap::new();
        for (ix, organisation) in config.organisations.iter().enumerate() {
            organisation_by_key.extend(organisation.keys.iter().map(|key| (key.clone(), ix)));
        }
        let service_by_name =
            config.services.iter().enumerate().map(|(ix, s)| (s.name.clone(), ix)).collect();
        Self { published: config, routes_by_host, homes_by_host, organisation_by_key, service_by_name }
    }

    /// Returns the index of the route with the longest matching prefix for the host. A port in the host is
    /// ignored.
    ///
    /// ```
    /// use burdock_model::site::SiteConfigIndex;
    /// assert_eq!(SiteConfigIndex::default().route("a.example", "/x/1"), None);
    /// ```
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<usize> {
        let routes = find_host(&self.routes_by_host, host)?;
        routes.iter().copied().find(|ix| path.starts_with(&self.published.routes[*ix].prefix))
    }

    /// Returns the regions in which every request to the host may run that is restricted to some regions, by its
    /// route or by its organisation. `None` if no request to the host is restricted.
    ///
    /// ```
    /// use burdock_model::site::SiteConfigIndex;
    /// assert_eq!(SiteConfigIndex::default().homes("a.example"), None);
    /// ```
    #[must_use]
    pub fn homes(&self, host: &str) -> Option<&[RegionName]> {
        find_host(&self.homes_by_host, host).map(Vec::as_slice)
    }

    /// Returns the index of the organisation that holds a key.
    #[must_use]
    pub fn organisation_of(&self, key: &str) -> Option<usize> {
        self.organisation_by_key.get(key).copied()
    }

    /// Returns the index of a service.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<usize> {
        self.service_by_name.get(name).copied()
    }

    /// Returns whether a configuration has been published.
    #[must_use]
    pub const fn is_published(&self) -> bool {
        self.published.version > 0
    }
}

// Finds what is stored for a host. A port in the host is ignored.
fn find_host<'a, T>(by_host: &'a HashMap<String, T>, host: &str) -> Option<&'a T> {
    let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
    by_host.get(name).or_else(|| by_host.get(&name.to_ascii_lowercase()))
}

// Returns the regions that all restrictions on a host's requests allow. The organisations count unless all routes
// of the host are open.
fn common_homes(config: &SiteConfig, routes: &[usize]) -> Option<Vec<RegionName>> {
    let routes = || routes.iter().map(|ix| &config.routes[*ix]);
    let needs_key = routes().any(|route| !route.open);
    let of_organisations = config.organisations.iter().filter(|_| needs_key).map(|o| &o.regions);
    let restrictions = routes().map(|route| &route.regions).chain(of_organisations);
    restrictions.filter(|regions| !regions.is_empty()).fold(None, |common, regions| match common {
        None => Some(regions.clone()),
        Some(common) => Some(common.into_iter().filter(|region| regions.contains(region)).collect()),
    })
}

impl SiteConfig {
    /// Checks that the parts of the configuration are consistent.
    ///
    /// # Errors
    /// [`ErrorKind::InvalidTree`](crate::error::ErrorKind::InvalidTree) when the version is 0 or a route is invalid, with the name of that route.
    pub fn check(&self) -> Result<()> {
        self.inconsistencies().into_iter().next().map_or(Ok(()), |finding| Err(finding.into_error()))
    }

    /// Returns every inconsistency between the parts of the configuration, of which [`Self::check`] reports the
    /// first.
    ///
    /// ```
    /// use burdock_model::site::SiteConfig;
    /// assert_eq!(SiteConfig::default().inconsistencies()[0].place, "version");
    /// ```
    #[must_use]
    pub fn inconsistencies(&self) -> Vec<Finding> {
        let mut found = Vec::new();
        if self.version == 0 {
            found.push(Finding::error("version", "the configuration has none; expected 1 or more"));
        }
        for route in &self.routes {
            let place = format!("route `{}`", route.name);
            found.extend(match_error(&place, &route.host, &route.prefix));
            let total_weight: f64 = route.targets.iter().map(|t| t.weight).sum();
            if !total_weight.is_finite()
                || total_weight <= 0.0
                || route.targets.iter().any(|t| t.weight < 0.0)
            {
                let reason = "it needs targets with weights of 0 or more and a positive finite sum";
                found.push(Finding::error(&place, reason));
            }
            if route.targets.iter().any(|t| t.service >= self.services.len()) {
                found.push(Finding::error(&place, "it refers to an unknown service"));
            }
        }
        for organisation in &self.organisations {
            let is_valid = |amount: f64| amount.is_finite() && amount >= 0.0;
            if !is_valid(organisation.rate) || !is_valid(organisation.burst) {
                found.push(Finding::error(
                    format!("organisation `{}`", organisation.name),
                    "it needs a rate and a burst of 0 or more",
                ));
            }
        }
        found
    }
}

/// Returns what is wrong with the host and path prefix of the route at a place.
///
/// ```
/// use burdock_model::site::match_error;
/// assert_eq!(match_error("route `tiles`", "a.example", "/t/"), None);
/// assert!(match_error("route `tiles`", "a.example", "t").is_some());
/// ```
#[must_use]
pub fn match_error(place: &str, host: &str, prefix: &str) -> Option<Finding> {
    let is_valid = !host.is_empty() && prefix.starts_with('/') && prefix.ends_with('/');
    let reason = "it needs a host and a prefix that begins and ends with `/`";
    (!is_valid).then(|| Finding::error(place, reason))
}
