//! Pace and slots that backend servers state, and how instances tell each other of them.

mod site_support;

use std::sync::Arc;
use std::time::Duration;

use burdock_decide::time::Time;
use burdock_model::ids::{BackendId, InstanceId, ServiceName, ZoneName};
use burdock_model::site::RegisteredBackend;
use burdock_node::site::backend::Backend;
use burdock_node::site::hub::Hub;
use burdock_platform::load::parse_load;
use burdock_wire::messages::{HashedAmount, StatedPace, TrafficReport};
use googletest::prelude::*;
use site_support::{Site, raw};

fn backend() -> Backend {
    let registered = RegisteredBackend {
        id: BackendId::new("agenda-1").unwrap(),
        service: ServiceName::new("agenda").unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: ZoneName::new("riga-a").unwrap(),
        slots: 9,
        draining: false,
        remaining_cold_time: Duration::ZERO,
        started_ms: 1,
        sequence: 1,
    };
    Backend::new(registered, 0, Arc::default(), at(0))
}

fn at(ms: u64) -> Time {
    Time::from_millis(10_000 + ms)
}

fn state_load(backend: &Backend, header: &str, ms: u64) {
    backend.record_load(&parse_load(header).unwrap(), at(ms));
}

fn slowness(backend: &Backend, ms: u64) -> f64 {
    backend.candidate(true, 1.0, true, at(ms)).slowness
}

#[gtest]
fn stated_pace_counts_until_it_is_stale() {
    let backend = backend();
    state_load(&backend, "3,0,9,250", 0);
    expect_that!(slowness(&backend, 0), near(2.5, 0.01));
    expect_that!(slowness(&backend, 500), all!(gt(1.2), lt(2.4)));
    expect_that!(slowness(&backend, 10_000), eq(1.0));
    state_load(&backend, "3,0,9,250", 20_000);
    state_load(&backend, "3,0,9,100", 20_300);
    expect_that!(slowness(&backend, 20_300), eq(1.0));
    // A backend server that states no pace is as fast as usual.
    state_load(&backend, "3,0,9", 20_600);
    expect_that!(slowness(&backend, 20_600), eq(1.0));
}

// A slow response in a phase that the backend server states would otherwise keep objects away for seconds after it.
#[gtest]
fn slow_response_in_a_stated_phase_does_not_count_after_it() {
    let (stating, silent) = (backend(), backend());
    state_load(&stating, "3,0,9,250", 0);
    for ms in [0, 50, 100, 150] {
        stating.record_answer(2.5, true, at(ms));
        silent.record_answer(2.5, true, at(ms));
    }
    state_load(&stating, "3,0,9,100", 400);
    expect_that!(slowness(&stating, 400), lt(1.2));
    expect_that!(slowness(&silent, 400), gt(1.4));
}

#[gtest]
fn stated_slots_replace_the_registered_ones() {
    let backend = backend();
    expect_that!(backend.candidate(true, 1.0, true, at(0)).slots, eq(9));
    state_load(&backend, "3,0,4", 0);
    expect_that!(backend.candidate(true, 1.0, true, at(0)).slots, eq(4));
    state_load(&backend, "3,0,0", 100);
    expect_that!(backend.candidate(true, 1.0, true, at(100)).slots, eq(4));
}

// Reports carry only what differs from usual, and that it has ended, or each would list all backend servers.
#[gtest]
fn only_news_is_reported_and_with_its_age() {
    let backend = backend();
    let reported = |ms| backend.reported_pace(at(ms)).map(|pace| (pace.percent, pace.age_ms));
    state_load(&backend, "3,0,9,100", 0);
    expect_that!(reported(0), none());
    state_load(&backend, "3,0,9,250", 200);
    expect_that!(reported(250), some(eq((250, 50))));
    state_load(&backend, "3,0,9,100", 600);
    expect_that!(reported(700), some(eq((100, 100))));
    state_load(&backend, "3,0,9,100", 900);
    expect_that!(reported(900), none());
    state_load(&backend, "3,0,9,250", 2000);
    expect_that!(reported(9000), none());
}

#[gtest]
fn hub_tells_the_newest_statement_to_instances_and_hubs() {
    let (hub, own) = (Hub::default(), InstanceId::new("hub").unwrap());
    let report = |sender: &str, percent, age_ms, ms| {
        let report = TrafficReport {
            in_flight: vec![HashedAmount { hash: 1, amount: 1.0 }],
            paces: vec![StatedPace { backend_hash: 7, percent, age_ms }],
            ..TrafficReport::new(InstanceId::new(sender).unwrap())
        };
        hub.record_report(&own, report, at(ms)).paces
    };
    expect_that!(report("a", 250, 500, 0), is_empty());
    expect_that!(
        report("b", 100, 100, 50),
        elements_are![eq(&StatedPace { backend_hash: 7, percent: 250, age_ms: 550 })]
    );
    expect_that!(
        hub.summary(&own, at(100)).paces,
        elements_are![eq(&StatedPace { backend_hash: 7, percent: 100, age_ms: 150 })]
    );
    expect_that!(hub.summary(&own, at(5000)).paces, is_empty());
    let instance = backend();
    instance.record_told_pace(&StatedPace { backend_hash: 7, percent: 250, age_ms: 200 }, at(1000));
    expect_that!(slowness(&instance, 1000), all!(gt(1.5), lt(2.5)));
}

// The whole way: header of a response, report to the hub, answer to an instance that sent the backend server nothing.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn instances_learn_pace_and_slots_from_each_others_responses() {
    let site = Site::start(2, 0).await;
    let slow = raw::Backend::start(|id| {
        let load = "X-Burdockcroft-Server-Load: 1,0,4,250\r\n";
        vec![(Duration::ZERO, raw::build_answer_with(&id, "200 OK", load, "ok"))]
    })
    .await;
    let silent =
        raw::Backend::start(|id| vec![(Duration::ZERO, raw::build_answer_with(&id, "200 OK", "", "ok"))])
            .await;
    site.register("quotes-raw", "quotes", slow.address);
    site.register("valves-raw", "valves", silent.address);
    let slow_count = |ix: usize| {
        let node = &site.instances[ix].node;
        node.backends.slow_backends(node.clock.now()).0
    };
    let key = ("x-burdockcroft-key", "key-of-farm");
    site.wait_until(async || {
        let _answer = site.get(0, "/quotes/1", &[key]).await;
        // Paces are told only to instances that place requests.
        let _answer = site.get(1, "/valves/1", &[key]).await;
        slow_count(0) == 1 && slow_count(1) == 1
    })
    .await;
    let usable = site.instances[0].node.backends.usable();
    expect_that!(usable.services[&ServiceName::new("quotes").unwrap()][0].slots(), eq(4));
}
