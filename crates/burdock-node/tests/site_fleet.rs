//! Selects the instances that the directory lists and those that may send to a cold backend server.

use burdock_decide::cold;
use burdock_decide::entries::{InstanceView, steering_targets};
use burdock_decide::time::Time;
use burdock_model::ids::{Incarnation, InstanceId, RegionName, ZoneName};
use burdock_model::site::{RegisteredInstance, SiteConfigIndex};
use burdock_node::site::directory::select_instances;
use burdock_node::site::fleet::SiteFleet;
use burdock_platform::dialect::DirectoryQuery;
use googletest::prelude::*;

const REGIONS: [&str; 2] = ["riga", "jelgava"];
const WEAK_PER_ZONE: u16 = 17;
const STRONG_PER_ZONE: u16 = 2;

fn instance(region: &str, zone: &str, nth: u16, is_strong: bool) -> RegisteredInstance {
    let class = if is_strong { "strong" } else { "weak" };
    let id = format!("{class}-{region}-{zone}-{nth}");
    let address = |port: u16| format!("127.0.0.1:{port}").parse().unwrap();
    let port = u16::try_from(burdock_model::hash::stable_hash(id.as_bytes(), 1) % 60_000).unwrap();
    RegisteredInstance {
        id: InstanceId::new(&id).unwrap(),
        incarnation: Incarnation(1),
        region: RegionName::new(region).unwrap(),
        zone: ZoneName::new(&format!("{region}-{zone}")).unwrap(),
        callers: address(port),
        peers: address(port),
        capacity_class: if is_strong { 6 } else { 0 },
        cores: if is_strong { 0.5 } else { 0.07 },
    }
}

fn fleet() -> SiteFleet {
    let fleet = SiteFleet::default();
    for region in REGIONS {
        for zone in ["a", "b"] {
            let weak = (0..WEAK_PER_ZONE).map(|nth| instance(region, zone, nth, false));
            let strong = (0..STRONG_PER_ZONE).map(|nth| instance(region, zone, nth, true));
            for instance in weak.chain(strong) {
                fleet.apply_entry(&instance.id.clone(), Some(instance), Time(1));
            }
        }
    }
    fleet
}

fn listed_count(fleet: &SiteFleet, region: &str) -> usize {
    let query = DirectoryQuery {
        host: "site.example".to_owned(),
        region: region.to_owned(),
        zone: format!("{region}-a"),
    };
    select_instances(&fleet.view(), &SiteConfigIndex::default(), &query).len()
}

#[gtest]
fn directory_lists_only_strong_instances_of_a_mixed_fleet() {
    let fleet = fleet();
    expect_that!(listed_count(&fleet, "riga"), eq(usize::from(STRONG_PER_ZONE) * 2));
    let view = fleet.view();
    expect_that!(view.all_steering_targets().all(|i| i.capacity_class == 6), eq(true));
}

#[gtest]
fn weak_instances_are_listed_when_a_zone_loses_its_strong_ones() {
    let fleet = fleet();
    for nth in 0..STRONG_PER_ZONE {
        fleet.apply_entry(&instance("riga", "a", nth, true).id, None, Time(2));
    }
    expect_that!(listed_count(&fleet, "riga"), eq(usize::from(WEAK_PER_ZONE * 2 + STRONG_PER_ZONE)));
    expect_that!(listed_count(&fleet, "jelgava"), eq(usize::from(STRONG_PER_ZONE) * 2));
}

#[gtest]
fn callers_of_a_lost_region_are_sent_to_another_region() {
    let fleet = fleet();
    for i in fleet.view().listed.iter().filter(|i| i.region.as_str() == "riga") {
        fleet.apply_entry(&i.id, None, Time(2));
    }
    expect_that!(listed_count(&fleet, "riga"), eq(usize::from(STRONG_PER_ZONE) * 2));
}

// Instances that receive no callers have no requests to send to a cold backend server.
#[gtest]
fn only_steering_targets_of_its_region_send_to_a_cold_backend() {
    let fleet = fleet();
    let view = fleet.view();
    let riga = RegionName::new("riga").unwrap();
    let senders = |backend: &str| {
        let is_sender =
            |own: &&str| cold::is_sender(backend, own, view.cold_senders(Some(&riga)).into_iter());
        view.listed.iter().map(|i| i.id.as_str()).filter(is_sender).collect::<Vec<_>>()
    };
    for nth in 0..50 {
        let senders = senders(&format!("backend-{nth}"));
        expect_that!(senders.len(), eq(cold::SENDERS_PER_BACKEND));
        expect_that!(senders, each(starts_with("strong-riga")));
    }
}

#[gtest]
fn cold_backend_of_a_region_without_instances_gets_senders_elsewhere() {
    let view = fleet().view();
    let region = RegionName::new("daugavpils").unwrap();
    expect_that!(view.cold_senders(Some(&region)).len(), eq(usize::from(STRONG_PER_ZONE) * 4));
}

// The operators' large deployment: three instances of half a core and about thirty of a tenth in each zone. With
// all of them as steering targets, 192 instances kept connections to 889 backend servers, and were told loads.
#[gtest]
fn few_large_instances_take_all_callers_of_a_large_fleet() {
    let large = |zone| InstanceView { zone, capacity_class: 6, cores: 0.5 };
    let small = |zone| InstanceView { zone, capacity_class: 1, cores: 0.1 };
    let zones = ["a", "b", "c"];
    let region: Vec<InstanceView<'_>> = zones
        .into_iter()
        .flat_map(|zone| std::iter::repeat_n(large(zone), 3).chain(std::iter::repeat_n(small(zone), 33)))
        .collect();
    let targets = steering_targets(&region);
    expect_that!(targets.len(), eq(9));
    // The small ones help when two zones have lost their large ones.
    let reduced: Vec<InstanceView<'_>> =
        region.into_iter().filter(|i| i.zone == "a" || i.capacity_class == 1).collect();
    expect_that!(steering_targets(&reduced).len(), eq(3 + 99));
}
