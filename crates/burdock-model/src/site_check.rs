//! Checks a deployment's configuration for what instances accept although it has no effect or contradicts
//! itself, and compares it with the version in force.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

use serde::Serialize;

use crate::error::{Error, ErrorKind};
use crate::ids::RegionName;
use crate::site::{Organisation, Route, SiteConfig, SiteConfigIndex};

/// Severity of a [`Finding`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// Instances accept the configuration, but part of it has no effect or contradicts another part.
    Warning,
    /// Instances leave the configuration out.
    Error,
}

/// Result of a check that an operator should look at.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Severity of the finding.
    pub severity: Severity,
    /// Part of the configuration that the finding concerns; empty for the whole of it.
    pub place: String,
    /// What is wrong, and what follows from it.
    pub reason: String,
}

impl Finding {
    /// Creates an error at a place.
    ///
    /// ```
    /// use burdock_model::site_check::Finding;
    /// assert_eq!(Finding::error("limits", "no size").to_string(), "error: limits: no size");
    /// ```
    #[must_use]
    pub fn error(place: impl fmt::Display, reason: impl Into<String>) -> Self {
        Self { severity: Severity::Error, place: place.to_string(), reason: reason.into() }
    }

    /// Converts the finding into the error with which a configuration is rejected.
    #[must_use]
    pub fn into_error(self) -> Error {
        let error = Error::new(ErrorKind::InvalidTree, self.reason);
        if self.place.is_empty() { error } else { error.at(self.place) }
    }

    fn warning(place: impl fmt::Display, reason: impl Into<String>) -> Self {
        Self { severity: Severity::Warning, place: place.to_string(), reason: reason.into() }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Warning => "warning",
            Severity::Error => "error",
        };
        write!(f, "{severity}: ")?;
        if !self.place.is_empty() {
            write!(f, "{}: ", self.place)?;
        }
        f.write_str(&self.reason)
    }
}

/// How a part differs from the version in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// The version in force doesn't have it.
    Added,
    /// Only the version in force has it.
    Removed,
    /// Both have it, with different fields.
    Changed,
}

/// Route, service or organisation that differs from the version in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// The part, such as ``route `tiles` ``.
    pub place: String,
    /// How it differs.
    pub change: Change,
    /// Names of the fields that differ, for a changed part.
    pub fields: Vec<&'static str>,
}

/// Returns what a valid configuration contains that has no effect or contradicts itself. Instances leave out a
/// version that isn't higher than the one in force, so with `in_force` that is an error.
///
/// ```
/// use burdock_model::site::SiteConfig;
/// use burdock_model::site_check::check_config;
/// let config = SiteConfig { version: 4, ..SiteConfig::default() };
/// assert!(check_config(&config, None).is_empty());
/// assert_eq!(check_config(&config, Some(&config)).len(), 1);
/// ```
#[must_use]
pub fn check_config(config: &SiteConfig, in_force: Option<&SiteConfig>) -> Vec<Finding> {
    let mut findings = Vec::new();
    if let Some(current) = in_force.map(|c| c.version).filter(|current| config.version <= *current) {
        findings.push(Finding::error(
            "version",
            format!("{} isn't higher than {current}, which is in force", config.version),
        ));
    }
    check_names(config, &mut findings);
    check_routes(config, &mut findings);
    check_keys(config, &mut findings);
    for organisation in &config.organisations {
        check_organisation(organisation, &config.routes, &mut findings);
    }
    findings
}

/// Returns the parts that differ between a configuration and the one in force, without regard to their order.
///
/// ```
/// use burdock_model::site::SiteConfig;
/// use burdock_model::site_check::differences;
/// assert!(differences(&SiteConfig::default(), &SiteConfig::default()).is_empty());
/// ```
#[must_use]
pub fn differences(config: &SiteConfig, in_force: &SiteConfig) -> Vec<Difference> {
    let mut found = Vec::new();
    compare("route", &route_fields(config), &route_fields(in_force), &mut found);
    compare("service", &service_fields(config), &service_fields(in_force), &mut found);
    compare("organisation", &organisation_fields(config), &organisation_fields(in_force), &mut found);
    let (new, old) = (&config.caller_limits, &in_force.caller_limits);
    let limits = [
        ("max_header_bytes", new.max_header_bytes != old.max_header_bytes),
        ("max_body_bytes", new.max_body_bytes != old.max_body_bytes),
        ("header_timeout", new.header_timeout != old.header_timeout),
        ("idle_timeout", new.idle_timeout != old.idle_timeout),
    ];
    let fields: Vec<&str> =
        limits.into_iter().filter_map(|(name, differs)| differs.then_some(name)).collect();
    if !fields.is_empty() {
        found.push(Difference { place: "caller limits".to_owned(), change: Change::Changed, fields });
    }
    found
}

fn check_names(config: &SiteConfig, findings: &mut Vec<Finding>) {
    let routes = config.routes.iter().map(|r| ("route", r.name.as_str()));
    let services = config.services.iter().map(|s| ("service", s.name.as_str()));
    let organisations = config.organisations.iter().map(|o| ("organisation", o.name.as_str()));
    let mut seen = BTreeSet::new();
    for (part, name) in routes.chain(services).chain(organisations) {
        if !seen.insert((part, name)) {
            findings.push(Finding::warning(format!("{part} `{name}`"), "another one has the same name"));
        }
    }
}

fn check_routes(config: &SiteConfig, findings: &mut Vec<Finding>) {
    let index = SiteConfigIndex::new(config.clone());
    for (ix, route) in config.routes.iter().enumerate() {
        let mut warn = |reason: String| findings.push(route_warning(route, reason));
        // The look-up of requests decides, so that the check can't disagree with it.
        match index.route(&route.host, &route.prefix) {
            Some(found) if found != ix => warn(format!(
                "never matches: route `{}` has the same host and prefix and comes first",
                config.routes[found].name
            )),
            Some(_) => {}
            None => warn(format!(
                "never matches: hosts are compared without a port, and the host is `{}`",
                route.host
            )),
        }
        for target in route.targets.iter().filter(|t| t.weight == 0.0) {
            let service = &config.services[target.service].name;
            warn(format!("service `{service}` has a weight of 0 and gets no requests"));
        }
        if route.latency_target > route.time_limit {
            warn(format!(
                "the latency target of {:?} is over the time limit of {:?}",
                route.latency_target, route.time_limit
            ));
        }
    }
}

fn check_keys(config: &SiteConfig, findings: &mut Vec<Finding>) {
    let index = SiteConfigIndex::new(config.clone());
    for organisation in &config.organisations {
        // Keys are secret, so that a finding gives only their position.
        for (position, key) in organisation.keys.iter().enumerate() {
            let holder = index.organisation_of(key).map(|ix| &config.organisations[ix]);
            if let Some(holder) = holder.filter(|holder| !std::ptr::eq(*holder, organisation)) {
                findings.push(Finding::warning(
                    format!("organisation `{}`", organisation.name),
                    format!(
                        "key {} is also held by organisation `{}`, for which its requests count",
                        position + 1,
                        holder.name
                    ),
                ));
            }
        }
    }
}

fn check_organisation(organisation: &Organisation, routes: &[Route], findings: &mut Vec<Finding>) {
    let mut warn = |reason: String| {
        findings.push(Finding::warning(format!("organisation `{}`", organisation.name), reason))
    };
    if routes.iter().all(|route| route.open) {
        warn("no route needs a key, so that nothing counts for it".to_owned());
    }
    if organisation.keys.is_empty() {
        warn("it has no key, so that no request counts for it".to_owned());
    }
    if organisation.rate > 0.0 && organisation.burst < 1.0 {
        warn(format!("the burst of {} is under one request", organisation.burst));
    }
    for route in routes.iter().filter(|r| !r.open && !share_region(&r.regions, &organisation.regions)) {
        warn(format!("it shares no allowed region with route `{}`", route.name));
    }
}

// An empty list allows all regions.
fn share_region(a: &[RegionName], b: &[RegionName]) -> bool {
    a.is_empty() || b.is_empty() || a.iter().any(|region| b.contains(region))
}

fn route_warning(route: &Route, reason: String) -> Finding {
    Finding::warning(format!("route `{}`", route.name), reason)
}

/// Names of a part's fields with a text of each value.
type Fields = Vec<(&'static str, String)>;

fn compare(
    part: &str,
    new: &BTreeMap<&str, Fields>,
    old: &BTreeMap<&str, Fields>,
    found: &mut Vec<Difference>,
) {
    let names: BTreeSet<&str> = new.keys().chain(old.keys()).copied().collect();
    for name in names {
        let (change, fields) = match (new.get(name), old.get(name)) {
            (Some(_), None) => (Change::Added, Vec::new()),
            (None, _) => (Change::Removed, Vec::new()),
            (Some(new), Some(old)) if new == old => continue,
            (Some(new), Some(old)) => {
                let old: HashMap<&str, &String> = old.iter().map(|(field, value)| (*field, value)).collect();
                let differs = |(field, value): &(&'static str, String)| {
                    (old.get(field).copied() != Some(value)).then_some(*field)
                };
                (Change::Changed, new.iter().filter_map(differs).collect())
            }
        };
        found.push(Difference { place: format!("{part} `{name}`"), change, fields });
    }
}

fn route_fields(config: &SiteConfig) -> BTreeMap<&str, Fields> {
    let fields = |route: &Route| {
        // A service's index says nothing across versions.
        let targets: Vec<(&str, f64)> =
            route.targets.iter().map(|t| (config.services[t.service].name.as_str(), t.weight)).collect();
        vec![
            ("host", route.host.clone()),
            ("prefix", route.prefix.clone()),
            ("targets", format!("{targets:?}")),
            ("repeatable", route.repeatable.to_string()),
            ("time_limit", format!("{:?}", route.time_limit)),
            ("latency_target", format!("{:?}", route.latency_target)),
            ("max_attempts", route.max_attempts.to_string()),
            ("urgency", route.urgency.to_string()),
            ("open", route.open.to_string()),
            ("affinity", route.affinity.to_string()),
            ("regions", format!("{:?}", route.regions)),
        ]
    };
    config.routes.iter().map(|route| (route.name.as_str(), fields(route))).collect()
}

fn service_fields(config: &SiteConfig) -> BTreeMap<&str, Fields> {
    let fields = config.services.iter().map(|service| {
        let fields = vec![
            ("max_connections", service.max_connections.to_string()),
            ("cold_time", format!("{:?}", service.cold_time)),
            ("cold_rate", service.cold_rate.to_string()),
        ];
        (service.name.as_str(), fields)
    });
    fields.collect()
}

fn organisation_fields(config: &SiteConfig) -> BTreeMap<&str, Fields> {
    let fields = config.organisations.iter().map(|organisation| {
        let fields = vec![
            ("keys", format!("{:?}", organisation.keys)),
            ("urgency", format!("{:?}", organisation.urgency)),
            ("rate", organisation.rate.to_string()),
            ("burst", organisation.burst.to_string()),
            ("regions", format!("{:?}", organisation.regions)),
        ];
        (organisation.name.as_str(), fields)
    });
    fields.collect()
}
