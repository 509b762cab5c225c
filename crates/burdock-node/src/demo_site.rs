//! Instances of a deployment on the platform beside the demo's own, on the same store and backend servers.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

use burdock_model::prelude::*;
use burdock_model::site_settings::{Bounds, SiteListen, SiteSettings};
use burdock_standin::sample::{REGIONS, SampleBackend};
use burdock_standin::site::{HOST, SampleBackendEntry, SampleConfig};
use serde_json::{Value, json};

use crate::demo::Demo;
use crate::phase::Phase;
use crate::site::start::{RunningInstance, start};

/// The key of the sample's organisation.
const KEY: &str = "key-of-farm";

/// The longest that the instances may take to become ready, and how often that is looked at.
const READY_LIMIT: Duration = Duration::from_secs(5);
const LOOK: Duration = Duration::from_millis(20);

/// Starts one instance in each region.
///
/// # Errors
/// [`ErrorKind::Internal`] when one does not become ready.
pub async fn start_beside(demo: &Demo) -> Result<Vec<RunningInstance>> {
    SampleConfig::new(1).publish(&demo.store);
    for backend in &demo.backends {
        entry(&backend.sample).publish(&demo.store);
    }
    let mut running = Vec::new();
    for (region, zones) in REGIONS {
        running.push(start(settings(region, zones[0], demo.store_address)?).await?);
    }
    let end = tokio::time::Instant::now() + READY_LIMIT;
    while running.iter().any(|r| r.node.phase() < Phase::Ready) {
        if tokio::time::Instant::now() >= end {
            return Err(Error::new(
                ErrorKind::Internal,
                "the instances on the platform did not become ready",
            ));
        }
        tokio::time::sleep(LOOK).await;
    }
    Ok(running)
}

/// Addresses as JSON.
#[must_use]
pub fn describe(running: &[RunningInstance]) -> Value {
    let one = |r: &RunningInstance| {
        let s = &r.node.settings;
        json!({"address": s.listen.callers, "directory": s.listen.directory, "region": s.region, "zone": s.zone})
    };
    json!({"host": HOST, "key": KEY, "entries": running.iter().map(one).collect::<Vec<_>>()})
}

/// Lines to try, for people.
#[must_use]
pub fn explain(running: &[RunningInstance]) -> String {
    let Some(first) = running.first() else {
        return String::new();
    };
    let dialect = &first.node.dialect;
    let listen = &first.node.settings.listen;
    let (key, id, path) = (&dialect.api_key, &dialect.attempt_id, dialect.directory_path);
    format!(
        "\nThe same backend servers in the platform's dialect:\n  \
         curl 'http://{}{path}?name={HOST}&region=riga&zone=riga-a'\n  \
         curl -H 'host: {HOST}' -H '{key}: {KEY}' -H '{id}: 1' http://{}/quotes/1\n",
        listen.directory, listen.callers
    )
}

fn entry(backend: &SampleBackend) -> SampleBackendEntry<'_> {
    SampleBackendEntry {
        id: &backend.id,
        service: backend.service,
        address: backend.address,
        zone: backend.zone,
        slots: 6,
        state: "ready",
        cold_s: 0.0,
        started_ms: 1,
    }
}

fn settings(region: &str, zone: &str, store: SocketAddr) -> Result<SiteSettings> {
    let zones = REGIONS.iter().flat_map(|(region, zones)| zones.iter().map(move |zone| (zone, region)));
    let regions = zones.map(|(zone, region)| Ok((ZoneName::new(zone)?, RegionName::new(region)?)));
    Ok(SiteSettings {
        instance: InstanceId::new(&format!("site-{region}"))?,
        zone: ZoneName::new(zone)?,
        region: RegionName::new(region)?,
        regions: regions.collect::<Result<_>>()?,
        listen: SiteListen {
            callers: free_address()?,
            ready: free_address()?,
            directory: free_address()?,
            peers: free_address()?,
            metrics: None,
        },
        store,
        cores: 1.0,
        cpu_share: 1.0,
        link_mbps: 1000.0,
        max_open_files: 1024,
        bounds: Bounds::default(),
    })
}

fn free_address() -> Result<SocketAddr> {
    let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    let found = TcpListener::bind(any).and_then(|listener| listener.local_addr());
    found.map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))
}
