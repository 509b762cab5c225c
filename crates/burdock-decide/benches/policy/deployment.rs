//! Sizes of two deployments.

use std::time::Duration;

/// Sizes of one deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: &'static str,
    /// Entry instances in one region.
    pub instances: usize,
    /// Backend servers of one service in one region.
    pub backends: usize,
    /// Slots of each backend server.
    pub slots: u32,
    /// One-way network latency between regions.
    pub one_way_latency: Duration,
    /// Mean service time of a request.
    pub service_time: Duration,
}

/// Zemgale: services of 16 and 20 backend servers over three regions; the larger one.
pub const ZEMGALE: Deployment = Deployment {
    name: "zemgale",
    instances: 8,
    backends: 7,
    slots: 6,
    one_way_latency: Duration::from_millis(55),
    service_time: Duration::from_millis(20),
};

/// Sabarmati: services of 16 backend servers over three regions.
pub const SABARMATI: Deployment = Deployment {
    name: "sabarmati",
    instances: 8,
    backends: 5,
    slots: 9,
    one_way_latency: Duration::from_millis(20),
    service_time: Duration::from_millis(20),
};

/// Rates of the organisations in requests per second: two large, six small.
pub const ORGANISATION_RATES: [u64; 8] = [400, 400, 40, 40, 40, 40, 40, 40];
