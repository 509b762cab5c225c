//! Which instances the directory names to callers whose requests may be served in some regions alone.

mod site_support;

use burdock_standin::site::{SampleConfig, organisation};
use googletest::prelude::*;
use serde_json::json;
use site_support::Site;

/// Starts two instances in each of two regions with a configuration whose version is 2.
async fn start_two_regions(config: &SampleConfig) -> Site {
    let mut site = Site::start(0, 2).await;
    config.publish(&site.store);
    for region in ["riga", "riga", "jelgava", "jelgava"] {
        let store = site.store_address;
        site.add_instance_in(region, store).await;
    }
    for ix in 0..4 {
        site.wait_until(async || site.instances[ix].node.fleet.view().listed.len() == 4).await;
        site.wait_until(async || site.instances[ix].node.config.load().published.version == 2).await;
    }
    site
}

/// Returns what the second instance of riga names to callers of its region while the first one restarts.
async fn addresses_during_restart(site: &mut Site) -> Vec<String> {
    let restarting = site.instances.remove(0);
    let stop = tokio::spawn(restarting.stop());
    site.wait_until(async || site.instances[0].node.fleet.view().listed.len() == 3).await;
    let addresses = site.directory_addresses(0, "riga").await;
    stop.await.unwrap();
    addresses
}

fn callers_addresses(site: &Site) -> Vec<String> {
    (0..site.instances.len()).map(|ix| site.callers_address(ix).to_string()).collect()
}

// Guards against sending callers with a home abroad in a planned restart, as seen in review case 10.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_with_a_home_are_kept_there_while_one_of_its_instances_restarts() {
    let mut config = SampleConfig::new(2);
    config.routes[1]["allowed_regions"] = json!(["riga"]);
    let mut site = start_two_regions(&config).await;
    let addresses = addresses_during_restart(&mut site).await;
    expect_that!(addresses, eq(&callers_addresses(&site)[..1]));
}

// Guards against the same for homes that an organisation has.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_an_organisation_with_a_home_are_kept_there_while_one_of_its_instances_restarts() {
    let mut config = SampleConfig::new(2);
    let mut settled = organisation("settled", &["key-of-settled"], 1000.0, 1000.0);
    settled["allowed_regions"] = json!(["riga"]);
    config.organisations.push(settled);
    let mut site = start_two_regions(&config).await;
    let addresses = addresses_during_restart(&mut site).await;
    expect_that!(addresses, eq(&callers_addresses(&site)[..1]));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_without_a_home_get_a_choice_while_one_of_two_instances_restarts() {
    let mut site = start_two_regions(&SampleConfig::new(2)).await;
    let mut addresses = addresses_during_restart(&mut site).await;
    let mut all = callers_addresses(&site);
    addresses.sort();
    all.sort();
    expect_that!(addresses, eq(&all));
}
