//! The operators' settings tree as it is written and stored.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::{Error, ErrorKind, Result};
use crate::ids::{BackendId, KeyId, OrganisationName, RegionName, RouteName, ServiceName, ZoneName};
use crate::jsonc;
use crate::settings::LevelSettings;

/// The whole tree.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tree {
    /// What the fleet sets for everything below it.
    pub settings: LevelSettings,
    /// Regions and their round trips.
    pub regions: BTreeMap<RegionName, RegionNode>,
    /// Services with their backend servers and routes.
    pub services: BTreeMap<ServiceName, ServiceNode>,
    /// Organisations with their keys and overrides.
    pub organisations: BTreeMap<OrganisationName, OrganisationNode>,
    /// What is being drained.
    pub drains: Drains,
    /// Names of the blobs that hold client blocks.
    pub blocks: Vec<String>,
}

/// A region.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RegionNode {
    /// One-way time to other regions in milliseconds.
    pub one_way_ms: BTreeMap<RegionName, u32>,
    /// Bytes a second that this system may send to other regions.
    pub link_bytes_per_second: Option<u64>,
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceNode {
    /// Thousandths of the service's traffic that one plan may move in a second.
    pub plan_shift_per_mille: Option<u32>,
    /// Thousandths of the service's traffic that failover may move in a second.
    pub failover_shift_per_mille: Option<u32>,
    /// Wanted split over regions, in thousandths. Empty: by where callers are.
    pub split_per_mille: BTreeMap<RegionName, u32>,
    /// Backend servers.
    pub backends: BTreeMap<BackendId, BackendNode>,
    /// Routes that lead to it.
    pub routes: BTreeMap<RouteName, RouteNode>,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendNode {
    /// Where it listens, as `ip:port`.
    pub address: std::net::SocketAddr,
    /// Its region.
    pub region: RegionName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests it works on at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

/// A route: which requests reach a service, and how.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteNode {
    /// Only requests for this host; all hosts where left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Requests whose path starts with this. The longest prefix wins.
    pub prefix: String,
    /// Open to all, without a key.
    #[serde(default)]
    pub open: bool,
    /// Whether requests may be run more than once. Left out: by their method.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<bool>,
}

/// An organisation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OrganisationNode {
    /// Overrides for the organisation.
    pub settings: LevelSettings,
    /// Its keys.
    pub keys: BTreeMap<KeyId, KeyNode>,
    /// Overrides for its use of services.
    pub services: BTreeMap<ServiceName, ServiceOverride>,
}

/// A key, as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyNode {
    /// SHA-256 of the secret, in hexadecimal.
    pub hash: String,
    /// What the operator noted.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub note: String,
}

/// An organisation's overrides for one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceOverride {
    /// Overrides for all its routes.
    pub settings: LevelSettings,
    /// Overrides for single routes.
    pub routes: BTreeMap<RouteName, RouteOverride>,
}

/// An organisation's overrides for one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouteOverride {
    /// Overrides for the route.
    pub settings: LevelSettings,
}

/// What gets no new work.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Drains {
    /// Backend servers.
    pub backends: Vec<BackendId>,
    /// Availability zones.
    pub zones: Vec<ZoneName>,
    /// Regions.
    pub regions: Vec<RegionName>,
}

impl Drains {
    /// Whether a drain covers a backend server.
    #[must_use]
    pub fn covers(&self, id: &BackendId, zone: &ZoneName, region: &RegionName) -> bool {
        self.backends.contains(id) || self.zones.contains(zone) || self.regions.contains(region)
    }
}

impl Tree {
    /// Reads a tree from its JSON value and checks it as a whole.
    ///
    /// ```
    /// use burdock_model::prelude::*;
    /// let err = Tree::from_value(&serde_json::json!({"setings": {}})).unwrap_err();
    /// assert!(err.to_string().contains("did you mean `settings`"));
    /// ```
    ///
    /// # Errors
    /// [`ErrorKind::InvalidTree`] with the path, what was found and what is allowed.
    pub fn from_value(value: &Value) -> Result<Self> {
        let tree: Self = jsonc::from_value(value, ErrorKind::InvalidTree)?;
        crate::resolve::check(&tree)?;
        Ok(tree)
    }

    /// The tree as a JSON value.
    ///
    /// # Errors
    /// [`ErrorKind::Internal`] when it can't be written.
    pub fn to_value(&self) -> Result<Value> {
        serde_json::to_value(self).map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))
    }
}

const fn default_slots() -> u32 {
    6
}
