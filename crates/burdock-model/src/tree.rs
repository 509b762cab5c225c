//! The operators' settings tree in its written and stored form.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::{Error, ErrorKind, Result};
use crate::ids::{BackendId, KeyId, OrganisationName, RegionName, RouteName, ServiceName, ZoneName};
use crate::jsonc;
use crate::settings::LevelSettings;

/// Root of the settings tree.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tree {
    /// Settings of the fleet, inherited by everything below.
    pub settings: LevelSettings,
    /// Regions and the one-way times between them.
    pub regions: BTreeMap<RegionName, RegionNode>,
    /// Services with their backend servers and routes.
    pub services: BTreeMap<ServiceName, ServiceNode>,
    /// Organisations with their keys and overrides.
    pub organisations: BTreeMap<OrganisationName, OrganisationNode>,
    /// Active drains.
    pub drains: Drains,
    /// Names of the blobs that contain client blocks.
    pub blocks: Vec<String>,
}

/// Network properties of a region.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RegionNode {
    /// One-way time to other regions, in milliseconds.
    pub one_way_ms: BTreeMap<RegionName, u32>,
    /// Bytes per second that the system may send to other regions.
    pub link_bytes_per_second: Option<u64>,
}

/// Service with its traffic split, backend servers and routes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceNode {
    /// Share of the service's traffic that a planned shift may move per second, in thousandths.
    pub plan_shift_per_mille: Option<u32>,
    /// Share of the service's traffic that failover may move per second, in thousandths.
    pub failover_shift_per_mille: Option<u32>,
    /// Desired split over regions, in thousandths. When empty, traffic follows the callers' location.
    pub split_per_mille: BTreeMap<RegionName, u32>,
    /// Backend servers of the service.
    pub backends: BTreeMap<BackendId, BackendNode>,
    /// Routes that lead to the service.
    pub routes: BTreeMap<RouteName, RouteNode>,
}

/// Address, location and capacity of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendNode {
    /// Address on which the backend server listens, as `ip:port`.
    pub address: std::net::SocketAddr,
    /// Region of the backend server.
    pub region: RegionName,
    /// Availability zone of the backend server.
    pub zone: ZoneName,
    /// Number of requests that it can run at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

/// Route that selects the requests for a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteNode {
    /// Host that requests must name; any host when left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Prefix of the request path. The longest matching prefix wins.
    pub prefix: String,
    /// Whether the route is open to everyone, without a key.
    #[serde(default)]
    pub open: bool,
    /// Whether requests may run more than once. When left out, their method decides.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<bool>,
}

/// Organisation with its keys and overrides.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OrganisationNode {
    /// Settings of the organisation.
    pub settings: LevelSettings,
    /// Keys of the organisation.
    pub keys: BTreeMap<KeyId, KeyNode>,
    /// Overrides for single services.
    pub services: BTreeMap<ServiceName, ServiceOverride>,
}

/// Stored form of an API key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyNode {
    /// SHA-256 digest of the secret in hexadecimal.
    pub hash: String,
    /// Operator's note about the key.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub note: String,
}

/// An organisation's overrides for one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceOverride {
    /// Overrides for all routes of the service.
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

/// Parts of the deployment that receive no new requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Drains {
    /// Drained backend servers.
    pub backends: Vec<BackendId>,
    /// Drained availability zones.
    pub zones: Vec<ZoneName>,
    /// Drained regions.
    pub regions: Vec<RegionName>,
}

impl Drains {
    /// Returns whether the backend server, its zone or its region is drained.
    #[must_use]
    pub fn covers(&self, id: &BackendId, zone: &ZoneName, region: &RegionName) -> bool {
        self.backends.contains(id) || self.zones.contains(zone) || self.regions.contains(region)
    }
}

impl Tree {
    /// Parses a tree from its JSON value and checks its consistency.
    ///
    /// ```
    /// use burdock_model::prelude::*;
    /// let err = Tree::from_value(&serde_json::json!({"setings": {}})).unwrap_err();
    /// assert!(err.to_string().contains("did you mean `settings`"));
    /// ```
    ///
    /// # Errors
    /// [`ErrorKind::InvalidTree`] with the path, the invalid value and what is allowed.
    pub fn from_value(value: &Value) -> Result<Self> {
        let tree: Self = jsonc::from_value(value, ErrorKind::InvalidTree)?;
        crate::resolve::check(&tree)?;
        Ok(tree)
    }

    /// Converts the tree to a JSON value.
    ///
    /// # Errors
    /// [`ErrorKind::Internal`] when serialization fails.
    pub fn to_value(&self) -> Result<Value> {
        serde_json::to_value(self).map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))
    }
}

const fn default_slots() -> u32 {
    6
}
