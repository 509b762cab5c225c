//! Plans between regions, as instances and hubs of three regions exchange them.

use std::time::Duration;

use burdock_decide::time::Time;
use burdock_model::ids::{BackendId, Incarnation, InstanceId, InstanceIncarnation, ServiceName, ZoneName};
use burdock_model::site::{RegisteredBackend, RegisteredInstance, SiteConfigIndex};
use burdock_node::site::{SiteNode, name_hash, plan};
use burdock_wire::client::PeerClient;
use burdock_wire::messages::{HashedAmount, Hello, ServiceSplit, TrafficReport};
use googletest::prelude::*;

/// Backend servers of each region in the order of the regions' indices: daugavpils, jelgava, riga.
const BACKENDS: [(&str, u32); 3] = [("daugavpils", 3), ("jelgava", 14), ("riga", 12)];

const SERVICE: &str = "agenda";

/// An instance of the smallest region with that region's hub `hub` in its list.
fn node(name: &str) -> SiteNode {
    let store = "127.0.0.1:9".parse().unwrap();
    let text = burdock_standin::site::settings(name, "daugavpils", "daugavpils-a", 4000, store);
    let settings = burdock_platform::settings::parse(&text).unwrap();
    let incarnation =
        InstanceIncarnation { instance: settings.instance.clone(), incarnation: Incarnation(1) };
    let hello = Hello {
        incarnation: incarnation.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
    };
    let node = SiteNode::new(settings, incarnation, PeerClient::start(hello, 1).unwrap());
    for (region, count) in BACKENDS {
        for ix in 0..count {
            let backend = backend(&format!("{region}-{ix}"), region);
            let config = SiteConfigIndex::default();
            node.backends.apply_entry(&config, &backend.id, Some(&backend), 1, Time(1));
        }
        list(&node, &if region == "daugavpils" { "hub".to_owned() } else { format!("hub-{region}") }, region);
    }
    node.backends.publish();
    node
}

fn backend(id: &str, region: &str) -> RegisteredBackend {
    RegisteredBackend {
        id: BackendId::new(id).unwrap(),
        service: ServiceName::new(SERVICE).unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: ZoneName::new(&format!("{region}-a")).unwrap(),
        slots: 9,
        draining: false,
        remaining_cold_time: Duration::ZERO,
        started_ms: 1,
        sequence: 1,
    }
}

fn list(node: &SiteNode, id: &str, region: &str) {
    let id = InstanceId::new(id).unwrap();
    let zone = ZoneName::new(&format!("{region}-a")).unwrap();
    let instance = RegisteredInstance {
        id: id.clone(),
        incarnation: Incarnation(1),
        region: node.settings.regions[&zone].clone(),
        zone,
        callers: "127.0.0.1:9".parse().unwrap(),
        peers: "127.0.0.1:9".parse().unwrap(),
        capacity_class: 0,
        cores: 0.5,
    };
    node.fleet.apply_entry(&id, Some(instance), Time(1));
}

fn weights(node: &SiteNode) -> Vec<f64> {
    node.plans.current().region_weights(&ServiceName::new(SERVICE).unwrap()).to_vec()
}

fn demand(busy_slots: f32) -> [HashedAmount; 1] {
    [HashedAmount { hash: name_hash(SERVICE), amount: busy_slots }]
}

/// Lets a hub work for some seconds while its own region asks for so many slots.
fn run_hub(hub: &SiteNode, from_s: u64, to_s: u64, own_demand: f32) {
    for ms in (from_s * 1000..to_s * 1000).step_by(500) {
        let now = Time::from_millis(ms);
        let report = TrafficReport {
            service_demands: demand(own_demand).to_vec(),
            ..TrafficReport::new(InstanceId::new("hub").unwrap())
        };
        let _answer = hub.hub.record_report(&hub.incarnation.instance, report, now);
        plan::refresh(hub, now);
    }
}

fn send_plan(hub: &SiteNode, to: &SiteNode, now: Time) {
    let (splits, service_demands) = plan::messages(hub);
    let answer =
        TrafficReport { splits, service_demands, ..TrafficReport::new(hub.incarnation.instance.clone()) };
    plan::record_answer(to, &answer, now);
}

// Guards against a start in which each instance places objects by other weights than its hub, which warms up the
// wrong backend servers, or by weights that leave the small region with 1.4 times its part.
#[gtest]
fn instances_begin_with_the_plan_of_their_hub() {
    let (hub, instance) = (node("hub"), node("other"));
    expect_that!(weights(&instance), is_empty());
    plan::refresh(&hub, Time::from_millis(10));
    plan::refresh(&instance, Time::from_millis(10));
    expect_that!(weights(&instance), elements_are![lt(&0.7), eq(&1.0), gt(&0.8)]);
    expect_that!(weights(&instance), eq(&weights(&hub)));
}

// Guards against objects that move, and become cold, because the hub is replaced by one without its averages.
#[gtest]
fn next_hub_goes_on_from_the_plan_of_the_last() {
    let (hub, instance) = (node("hub"), node("other"));
    let others = ["hub-jelgava", "hub-riga"].map(|id| InstanceId::new(id).unwrap());
    for other in &others {
        plan::record_region_demand(&hub, other, &demand(100.0));
    }
    // Before the list of instances is complete, an instance takes itself for the hub. The time since then must not
    // count as measured by it when it becomes the hub.
    instance.hub.mark_unreachable(&InstanceId::new("hub").unwrap(), instance.clock.now());
    plan::refresh(&instance, Time::from_millis(10));
    let first = weights(&instance);
    for other in &others {
        plan::record_region_demand(&instance, other, &demand(1000.0));
    }
    // The other hubs are silent from now on, so that their last demand counts.
    run_hub(&hub, 1, 120, 400.0);
    expect_that!(weights(&hub)[0], lt(first[0] * 0.9));
    let now = Time::from_millis(120_000);
    send_plan(&hub, &instance, now);
    expect_that!(weights(&instance), eq(&weights(&hub)));
    // From here on the instance is the hub itself.
    instance.hub.mark_unreachable(&InstanceId::new("hub").unwrap(), instance.clock.now());
    run_hub(&instance, 121, 122, 400.0);
    expect_that!(weights(&instance)[0], near(weights(&hub)[0], 0.03));
}

// Without the demand of all regions, one of them would seem to ask for everything.
#[gtest]
fn demand_counts_only_when_every_region_is_known() {
    let hub = node("hub");
    run_hub(&hub, 1, 2, 400.0);
    let first = weights(&hub);
    plan::record_region_demand(&hub, &InstanceId::new("hub-riga").unwrap(), &demand(10.0));
    run_hub(&hub, 2, 120, 400.0);
    expect_that!(weights(&hub), eq(&first));
}

// A weight of zero or infinity would take all objects from a region or bring all to it.
#[gtest]
fn invalid_weights_are_ignored() {
    let instance = node("other");
    plan::refresh(&instance, Time::from_millis(10));
    let first = weights(&instance);
    for amount in [0.0, -1.0, 1e9, f32::NAN] {
        let split = ServiceSplit {
            service_hash: name_hash(SERVICE),
            regions: vec![HashedAmount { hash: name_hash("daugavpils"), amount }],
        };
        let answer =
            TrafficReport { splits: vec![split], ..TrafficReport::new(InstanceId::new("hub").unwrap()) };
        plan::record_answer(&instance, &answer, Time::from_millis(20));
        expect_that!(weights(&instance), eq(&first));
    }
}
