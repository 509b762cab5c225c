//! Instances of a deployment on the platform, run by the demo with its own store and backend servers.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

use burdock_model::hedging::HedgeLimit;
use burdock_model::prelude::*;
use burdock_model::site_settings::{Bounds, SiteListen, SiteSettings};
use burdock_standin::sample::{REGIONS, SampleBackend};
use burdock_standin::site::{HOST, SampleBackendEntry, SampleConfig};
use serde_json::{Value, json};

use crate::demo::Demo;
use crate::phase::Phase;
use crate::site::start::{RunningInstance, start};

/// API key of the sample's organisation.
const API_KEY: &str = "key-of-farm";

/// Time within which all instances must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval at which it is checked whether all instances are ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Starts one instance in each region.
///
/// # Errors
/// [`ErrorKind::Internal`] when an instance can't be started or does not become ready in time.
pub async fn start_sites(demo: &Demo) -> Result<Vec<RunningInstance>> {
    SampleConfig::new(1).publish(&demo.store);
    for backend in &demo.backends {
        registration(&backend.sample).publish(&demo.store);
    }
    let mut running = Vec::new();
    for (region, zones) in REGIONS {
        running.push(start(settings(region, zones[0], demo.store_address)?).await?);
    }
    let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
    while running.iter().any(|r| r.node.phase() < Phase::Ready) {
        if tokio::time::Instant::now() >= deadline {
            return Err(Error::new(
                ErrorKind::Internal,
                "the instances on the platform did not become ready in time",
            ));
        }
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
    Ok(running)
}

/// Returns the instances' addresses as JSON.
#[must_use]
pub fn describe(running: &[RunningInstance]) -> Value {
    let entry = |r: &RunningInstance| {
        let s = &r.node.settings;
        json!({"address": s.listen.callers, "directory": s.listen.directory, "region": s.region, "zone": s.zone})
    };
    json!({"host": HOST, "key": API_KEY, "entries": running.iter().map(entry).collect::<Vec<_>>()})
}

/// Returns example commands as text.
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
         curl -H 'host: {HOST}' -H '{key}: {API_KEY}' -H '{id}: 1' http://{}/quotes/1\n",
        listen.directory, listen.callers
    )
}

fn registration(backend: &SampleBackend) -> SampleBackendEntry<'_> {
    SampleBackendEntry {
        id: &backend.id,
        service: backend.service,
        address: backend.address,
        zone: backend.zone,
        slots: 6,
        state: "ready",
        cold_s: 0.0,
        started_ms: 1,
        sequence: 1,
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
        memory_bytes: 256_000_000,
        max_open_files: 1024,
        bounds: Bounds::default(),
        hedge_limit: HedgeLimit::default(),
    })
}

fn free_address() -> Result<SocketAddr> {
    let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    let found = TcpListener::bind(any).and_then(|listener| listener.local_addr());
    found.map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))
}
