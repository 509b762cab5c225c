//! What one instance of a deployment on the platform is told at its start.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{InstanceId, RegionName, ZoneName};

/// The settings of one instance on the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    /// Its name, unique in the deployment.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// The region of each availability zone.
    pub regions: BTreeMap<ZoneName, RegionName>,
    /// Where it listens.
    pub listen: SiteListen,
    /// The platform's store.
    pub store: SocketAddr,
    /// Cores of the machine.
    pub cores: f64,
    /// The part of them that the process may use.
    pub cpu_share: f64,
    /// Megabits a second that the machine's link carries.
    pub link_mbps: f64,
    /// Files that the process may have open.
    pub max_open_files: usize,
    /// Bounds that the operators set.
    pub bounds: Bounds,
}

/// Where an instance on the platform listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SiteListen {
    /// For callers.
    pub callers: SocketAddr,
    /// For readiness checks.
    pub ready: SocketAddr,
    /// For callers that ask which instances to use.
    pub directory: SocketAddr,
    /// For other instances.
    pub peers: SocketAddr,
    /// For metrics; none are served without it.
    pub metrics: Option<SocketAddr>,
}

/// Bounds that the operators set for a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The time without faults after which an instance counts as in contact.
    pub contact_time: Duration,
    /// The longest that a draining backend server may still get requests.
    pub max_drain_time: Duration,
    /// The time between the signal to stop and the end by force.
    pub stop_timeout: Duration,
    /// Further attempts for each request, over all instances.
    pub retry_ratio: f64,
    /// The window that further attempts are counted in.
    pub retry_window: Duration,
    /// Further attempts that are always allowed in a window, over all instances.
    pub retry_slack: f64,
    /// Requests in a second to a cold backend server beyond its rate, over all instances.
    pub cold_slack: f64,
    /// The factor on a cold backend server's rate.
    pub cold_overshoot: f64,
    /// The longest that callers keep an answer of the directory.
    pub directory_ttl: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            contact_time: Duration::from_secs(4),
            max_drain_time: Duration::from_millis(2500),
            stop_timeout: Duration::from_secs(6),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_slack: 100.0,
            cold_slack: 5.0,
            cold_overshoot: 1.5,
            directory_ttl: Duration::from_secs(5),
        }
    }
}

impl SiteSettings {
    /// How much the machine can carry for others, as a class: each is twice the one below.
    #[must_use]
    pub fn capacity_class(&self) -> u32 {
        let product = (self.usable_cores() * self.link_mbps).max(0.0);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a small number")]
        let class = (1.0 + product).log2() as u32;
        class
    }

    /// Cores that the process may use.
    #[must_use]
    pub fn usable_cores(&self) -> f64 {
        (self.cpu_share * self.cores).max(0.0)
    }

    /// The region of an availability zone, if it is known.
    #[must_use]
    pub fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.regions.get(zone)
    }
}
