//! Warnings about a deployment's configuration, and its differences from the version in force.

use std::time::Duration;

use burdock_model::ids::{OrganisationName, RegionName, RouteName, ServiceName};
use burdock_model::site::{Organisation, Route, Service, SiteConfig, Target};
use burdock_model::site_check::{Change, Severity, check_config, differences};
use googletest::prelude::*;

fn route(name: &str) -> Route {
    Route {
        name: RouteName::new(name).unwrap(),
        host: "a.example".to_owned(),
        prefix: format!("/{name}/"),
        targets: vec![Target { service: 0, weight: 1.0 }],
        repeatable: true,
        time_limit: Duration::from_secs(6),
        latency_target: Duration::from_secs(1),
        max_attempts: 2,
        urgency: 0,
        open: false,
        affinity: false,
        regions: vec![RegionName::new("riga").unwrap()],
    }
}

fn service(name: &str) -> Service {
    let name = ServiceName::new(name).unwrap();
    Service { name, max_connections: 9, cold_time: Duration::ZERO, cold_rate: 0.0, status_path: None }
}

fn organisation(name: &str) -> Organisation {
    Organisation {
        name: OrganisationName::new(name).unwrap(),
        keys: vec![format!("key-of-{name}")],
        urgency: None,
        rate: 5.0,
        burst: 2.0,
        regions: Vec::new(),
    }
}

fn config() -> SiteConfig {
    SiteConfig {
        version: 2,
        routes: vec![route("tiles"), route("orders")],
        services: vec![service("s"), service("u")],
        organisations: vec![organisation("farm"), organisation("mill")],
        ..SiteConfig::default()
    }
}

// Returns the findings after one change to a configuration that has none.
fn after(change: impl FnOnce(&mut SiteConfig)) -> Vec<String> {
    let mut changed = config();
    change(&mut changed);
    check_config(&changed, None).iter().map(ToString::to_string).collect()
}

#[gtest]
fn configuration_without_contradictions_has_no_findings() {
    expect_that!(after(|_| {}), is_empty());
    expect_that!(after(|c| c.routes[0].open = true), is_empty());
    expect_that!(after(|c| c.routes[1].prefix = "/tiles/old/".to_owned()), is_empty());
    expect_that!(after(|c| c.organisations[0].rate = 0.0), is_empty());
}

#[gtest]
fn routes_that_never_match_are_reported() {
    expect_that!(
        after(|c| c.routes[1].prefix = "/tiles/".to_owned()),
        elements_are![eq(
            "warning: route `orders`: never matches: route `tiles` has the same host and prefix and comes first"
        )]
    );
    expect_that!(
        after(|c| c.routes[0].host = "a.example:8080".to_owned()),
        elements_are![contains_substring("hosts are compared without a port")]
    );
}

#[gtest]
fn contradictory_limits_of_a_route_are_reported() {
    expect_that!(
        after(|c| c.routes[0].latency_target = Duration::from_secs(7)),
        elements_are![eq("warning: route `tiles`: the latency target of 7s is over the time limit of 6s")]
    );
    expect_that!(
        after(|c| c.routes[0].targets.push(Target { service: 1, weight: 0.0 })),
        elements_are![eq("warning: route `tiles`: service `u` has a weight of 0 and gets no requests")]
    );
}

// A finding goes into logs and tickets, so that it must not contain the key.
#[gtest]
fn key_of_two_organisations_is_reported_without_the_key() {
    let found = after(|c| c.organisations[0].keys.push("key-of-mill".to_owned()));
    expect_that!(
        found,
        elements_are![eq(
            "warning: organisation `farm`: key 2 is also held by organisation `mill`, for which its requests count"
        )]
    );
}

#[gtest]
fn organisations_that_nothing_reaches_are_reported() {
    let open = after(|c| c.routes.iter_mut().for_each(|r| r.open = true));
    expect_that!(
        open,
        elements_are![contains_substring("`farm`: no route"), contains_substring("`mill`: no route")]
    );
    expect_that!(
        after(|c| c.organisations[0].keys.clear()),
        elements_are![contains_substring("`farm`: it has no key")]
    );
    expect_that!(
        after(|c| c.organisations[0].burst = 0.5),
        elements_are![contains_substring("`farm`: the burst of 0.5 is under one request")]
    );
    expect_that!(
        after(|c| c.organisations[0].regions = vec![RegionName::new("oslo").unwrap()]),
        elements_are![
            contains_substring("`farm`: it shares no allowed region with route `tiles`"),
            contains_substring("`farm`: it shares no allowed region with route `orders`")
        ]
    );
}

#[gtest]
fn parts_with_the_same_name_are_reported() {
    expect_that!(
        after(|c| c.services[1] = service("s")),
        elements_are![eq("warning: service `s`: another one has the same name")]
    );
}

// Instances skip a version that is not higher, so that sending it would change nothing.
#[gtest]
fn version_that_is_not_higher_is_an_error() {
    let in_force = SiteConfig { version: 2, ..config() };
    let found = check_config(&config(), Some(&in_force));
    expect_that!(found.iter().map(|f| f.severity).collect::<Vec<_>>(), elements_are![eq(&Severity::Error)]);
    expect_that!(check_config(&SiteConfig { version: 3, ..config() }, Some(&in_force)), is_empty());
}

// Guards against differences that come only from the order of the parts, which moves the services' indices.
#[gtest]
fn order_of_the_parts_makes_no_difference() {
    let mut reordered = config();
    reordered.services.reverse();
    reordered.routes.reverse();
    reordered.routes.iter_mut().for_each(|r| r.targets[0].service = 1);
    expect_that!(differences(&reordered, &config()), is_empty());
}

#[gtest]
fn differences_name_the_part_and_its_fields() {
    let mut new = config();
    new.routes[0].time_limit = Duration::from_secs(7);
    new.routes[0].targets[0].service = 1;
    new.routes[1] = route("surveys");
    new.services[0].max_connections = 10;
    new.organisations[0].keys.clear();
    new.organisations.pop();
    new.caller_limits.max_body_bytes = 1;
    let found = differences(&new, &config());
    let found: Vec<(&str, Change, String)> =
        found.iter().map(|d| (d.place.as_str(), d.change, d.fields.join(" "))).collect();
    let expected = [
        ("route `orders`", Change::Removed, ""),
        ("route `surveys`", Change::Added, ""),
        ("route `tiles`", Change::Changed, "targets time_limit"),
        ("service `s`", Change::Changed, "max_connections"),
        ("organisation `farm`", Change::Changed, "keys"),
        ("organisation `mill`", Change::Removed, ""),
        ("caller limits", Change::Changed, "max_body_bytes"),
    ];
    expect_that!(found, eq(&expected.map(|(place, change, fields)| (place, change, fields.to_owned()))));
}
