//! Start-up settings of an instance of a deployment on the platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::hedging::HedgeLimit;
use crate::ids::{InstanceId, RegionName, ZoneName};

/// Settings of an instance on the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    /// Unique id of the instance in the deployment.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Region of the instance.
    pub region: RegionName,
    /// Region of each availability zone.
    pub regions: BTreeMap<ZoneName, RegionName>,
    /// Addresses on which the instance listens.
    pub listen: SiteListen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Number of cores of the machine.
    pub cores: f64,
    /// Fraction of the cores that the process may use.
    pub cpu_share: f64,
    /// Capacity of the machine's link in megabits per second.
    pub link_mbps: f64,
    /// Memory that the process may take, in bytes.
    pub memory_bytes: u64,
    /// Maximum number of files that the process may have open.
    pub max_open_files: usize,
    /// Bounds set by the operators.
    pub bounds: Bounds,
    /// Limit on second copies of requests, where the store holds none.
    pub hedge_limit: HedgeLimit,
}

/// Addresses on which an instance on the platform listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SiteListen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for readiness checks.
    pub ready: SocketAddr,
    /// Address for callers that ask which instances to use.
    pub directory: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    /// Address for metrics; `None` disables them.
    pub metrics: Option<SocketAddr>,
}

/// Bounds that operators set for a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time without faults after which an instance counts as in contact.
    pub contact_time: Duration,
    /// Maximum time until a change of the configuration is in force.
    pub config_apply_time: Duration,
    /// Maximum time that a draining backend server may still receive requests.
    pub max_drain_time: Duration,
    /// Time between the stop signal and the forced end of the process.
    pub stop_timeout: Duration,
    /// Allowed additional attempts per request, over all instances.
    pub retry_ratio: f64,
    /// Window over which additional attempts are counted.
    pub retry_window: Duration,
    /// Additional attempts that are always allowed in a window, over all instances.
    pub retry_slack: f64,
    /// Requests per second above its rate that a cold backend server may receive, over all instances.
    pub cold_slack: f64,
    /// Factor by which a cold backend server's rate may be exceeded.
    pub cold_overshoot: f64,
    /// Maximum time that callers may cache an answer of the directory.
    pub directory_ttl: Duration,
    /// Interval at which backend servers report to the store. An entry is removed after three of them in silence.
    pub report_interval: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            contact_time: Duration::from_secs(4),
            config_apply_time: Duration::from_secs(3),
            max_drain_time: Duration::from_millis(2500),
            stop_timeout: Duration::from_secs(6),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_slack: 100.0,
            cold_slack: 5.0,
            cold_overshoot: 1.5,
            directory_ttl: Duration::from_secs(5),
            report_interval: Duration::from_millis(1500),
        }
    }
}

/// Capacity class up to which a machine is small: a tenth of a core on a link of 60 Mbit/s.
const MAX_SMALL_CLASS: u32 = 2;

/// Returns whether a machine of a capacity class has little capacity for more than callers' requests.
///
/// ```
/// use burdock_model::site_settings::is_small_class;
/// assert!(is_small_class(2) && !is_small_class(6));
/// ```
#[must_use]
pub const fn is_small_class(capacity_class: u32) -> bool {
    capacity_class <= MAX_SMALL_CLASS
}

impl SiteSettings {
    /// Returns the class of the machine's capacity to carry traffic for others. Each class has twice the
    /// capacity of the one below.
    #[must_use]
    pub fn capacity_class(&self) -> u32 {
        let capacity = (self.usable_cores() * self.link_mbps).max(0.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the logarithm of a non-negative product is small"
        )]
        let class = (1.0 + capacity).log2() as u32;
        class
    }

    /// Returns whether the machine has little capacity for more than callers' requests.
    #[must_use]
    pub fn is_small(&self) -> bool {
        is_small_class(self.capacity_class())
    }

    /// Returns the number of cores that the process may use.
    #[must_use]
    pub fn usable_cores(&self) -> f64 {
        (self.cpu_share * self.cores).max(0.0)
    }

    /// Returns the region of an availability zone, if known.
    #[must_use]
    pub fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.regions.get(zone)
    }
}
