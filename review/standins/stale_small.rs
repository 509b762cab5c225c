//! One machine is partitioned from the store, and the manifest changes. A small machine beside it is in touch.

use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::platform::Platform;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;
use crate::upstream::{Upstreams, Work};
use crate::{Verdict, manifest_of, request_head, route};

/// `config_apply_s` of the larger sites in force is 3 and 4.
const CONFIG_APPLY_MS: u64 = 3000;

/// Length of the cut, as in the site file.
const CUT_FOR: Duration = Duration::from_millis(5500);

const ROUNDS: u64 = 3;

pub fn run(is_troubled: bool, record: &Record) -> Verdict {
    let (store, store_address) = Store::serve();
    let services = ["quote-desk", "member-ledger"];
    let publish = |version: u64| {
        let routes = [route("quote", "/quote/", "idempotent", services[(version % 2) as usize], 3)];
        store.publish("op/config", Some(&manifest_of(version, &routes.join(","), &services, 500, 500)));
    };
    publish(6);
    let work = Work {
        time: |_| Duration::from_millis(20),
        answer_bytes: |_| 1500,
        crashes: |_| false,
        restart: Duration::ZERO,
        keeps_id: false,
        answers_before_crash: false,
        failing: "",
        truncates: |_| false,
    };
    let upstreams = Upstreams::new(&store, work, record);
    for nth in 0..3 {
        for service in services {
            upstreams.start(&format!("i-{service}-{nth}"), service, "ahd-naroda", false);
        }
    }
    // Machines of the two sizes that the site has: 0.5 cores with 200 Mbit/s, and 0.07 cores with 10 Mbit/s.
    let machines = [
        ("edge-ahd-naroda-1", "ahmedabad", "ahd-naroda"),
        ("edge-ahd-vatva-1", "ahmedabad", "ahd-vatva"),
        ("edge-ahd-odhav-1", "ahmedabad", "ahd-odhav"),
        ("edge-ahd-naroda-2", "ahmedabad", "ahd-naroda"),
        ("edge-ahd-vatva-2", "ahmedabad", "ahd-vatva"),
    ];
    let small = machines.len() - 1;
    let proxies: Vec<Proxy> = (0..small).map(|_| Proxy::start(store_address)).collect();
    let platform = Platform::start_with(store_address, &machines, record, |nth| {
        let size = if nth == small { (0.07, 10) } else { (0.5, 200) };
        let store = proxies.get(nth).map_or(store_address, |proxy| proxy.address);
        format!(
            "limits.cpu_share={}\nlimits.link_mbps={}.0\nbounds.config_apply_s=3\nbounds.drain_s=3\n\
             platform.address={store}\n",
            size.0, size.1
        )
    });
    platform.wait_until_in_touch();
    let mut stale = Vec::new();
    for round in 0..ROUNDS {
        let version = 7 + round;
        // The machine that calls the store most is cut off.
        let calls_before: Vec<usize> = proxies.iter().map(Proxy::calls).collect();
        thread::sleep(Duration::from_secs(3));
        let cut = (0..small).max_by_key(|nth| proxies[*nth].calls() - calls_before[*nth]).unwrap_or(0);
        if is_troubled {
            proxies[cut].set_cut(true);
            record.line(&format!("{} is cut off from the store", platform.instances[cut].name));
        }
        thread::sleep(Duration::from_millis(100));
        publish(version);
        let confirmed_ms = record.ms();
        let new_service = services[(version % 2) as usize];
        record.line(&format!("the store confirms version {version}: the route goes to {new_service}"));
        let started_at = Instant::now();
        let mut nth = 0;
        while started_at.elapsed() < CUT_FOR {
            nth += 1;
            for instance in 0..=small {
                let id = format!("q{round}{instance}{nth:04}");
                let sent_ms = record.ms();
                let ask = || -> std::io::Result<u16> {
                    let mut connection = Connection::open(platform.instances[instance].front)?;
                    connection.send(request_head("GET", "/quote/1", &id, 3000, "").as_bytes())?;
                    connection.read_answer().map(|answer| answer.status)
                };
                let status = ask().unwrap_or(0);
                let service = upstreams.service_of(&id).unwrap_or_default();
                let after_ms = sent_ms - confirmed_ms;
                record.line(&format!(
                    "{}: {id} sent {after_ms} ms after the confirmation: {status}, run by {service}",
                    platform.instances[instance].name
                ));
                // The machine that is cut off is not in touch.
                if instance != cut
                    && after_ms > CONFIG_APPLY_MS
                    && !service.is_empty()
                    && service != new_service
                {
                    stale.push((platform.instances[instance].name.clone(), after_ms));
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        proxies[cut].set_cut(false);
        record.line("the cut heals");
        thread::sleep(Duration::from_secs(9));
    }
    let last = stale.iter().map(|(_, after_ms)| *after_ms).max().unwrap_or(0);
    record.line(&format!(
        "requests handled as only an older version allows, later than config_apply_s: {} {stale:?}",
        stale.len()
    ));
    println!(
        "requests handled by the old version later than {CONFIG_APPLY_MS} ms: {}, the last after {last} ms",
        stale.len()
    );
    platform.end();
    if stale.is_empty() { Verdict::Held } else { Verdict::Broken }
}
