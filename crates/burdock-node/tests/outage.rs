//! Store outages right after or during a configuration change.

use std::time::Duration;

use burdock_decide::connectivity::{Connectivity, ISOLATION_GRACE_TIME, STORE_CONTACT_TIMEOUT};
use burdock_model::treepath::Edit;
use burdock_node::admin::change::{ChangeRequest, make_change};
use burdock_node::demo::DemoSettings;
use burdock_standin::store::Fault;
use googletest::prelude::*;
use serde_json::json;

/// Longer than an instance without contact keeps serving.
const LONG_OUTAGE: Duration =
    STORE_CONTACT_TIMEOUT.saturating_add(ISOLATION_GRACE_TIME).saturating_add(Duration::from_secs(1));

fn change_request(retries: u8) -> ChangeRequest<'static> {
    ChangeRequest {
        operator: "tester",
        path: "settings/retries",
        edit: Edit::Put(json!(retries)),
        if_match: None,
        rebase: false,
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn store_outage_right_after_a_change_does_not_isolate_instances() {
    let demo = DemoSettings::default().instances(3).backends(3).start().await.unwrap();
    make_change(&demo.nodes[0].node, &change_request(1)).await.unwrap();
    demo.store.inject(Fault { down_ms: Some(600_000), ..Fault::default() });
    tokio::time::sleep(LONG_OUTAGE).await;
    for running in &demo.nodes {
        let node = &running.node;
        expect_that!(node.active_config.load().snapshot.tree.settings.retries, some(eq(1)));
        expect_that!(node.fleet.contact(node.clock.now()).connectivity, eq(Connectivity::StoreOutage));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn change_refused_by_the_store_leaves_no_pending_change() {
    let demo = DemoSettings::default().instances(3).backends(3).start().await.unwrap();
    let (a, b) = (&demo.nodes[0].node, &demo.nodes[1].node);
    // Both read the same head, so the store refuses one of the two writes.
    demo.store.inject(Fault { slow_ms: Some(50), ..Fault::default() });
    let (first, second) = (change_request(0), change_request(1));
    let (first, second) = tokio::join!(make_change(a, &first), make_change(b, &second));
    expect_that!([first.is_ok(), second.is_ok()].iter().filter(|ok| **ok).count(), le(1));
    demo.store.inject(Fault { slow_ms: Some(0), down_ms: Some(600_000), ..Fault::default() });
    tokio::time::sleep(LONG_OUTAGE).await;
    for running in &demo.nodes {
        let node = &running.node;
        expect_that!(node.fleet.contact(node.clock.now()).connectivity, eq(Connectivity::StoreOutage));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn unlisted_instance_refuses_a_change_as_isolated() {
    let demo = DemoSettings::default().instances(1).backends(1).start().await.unwrap();
    let node = &demo.nodes[0].node;
    expect_that!(make_change(node, &change_request(1)).await.is_ok(), eq(true));
    node.fleet.apply_instance_list(&[], node.clock.now());
    let e = make_change(node, &change_request(0)).await.unwrap_err();
    expect_that!(e.kind, eq(burdock_model::error::ErrorKind::Isolated));
}

// Guards against claims and changes on a store that has lost the newest ones.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn restored_store_is_refused_while_requests_are_served() {
    let demo = DemoSettings::default().instances(3).backends(3).start().await.unwrap();
    let copy = demo.store.copy();
    make_change(&demo.nodes[0].node, &change_request(1)).await.unwrap();
    demo.store.restore(&copy);
    tokio::time::sleep(LONG_OUTAGE).await;
    for running in &demo.nodes {
        let node = &running.node;
        expect_that!(node.active_config.load().snapshot.tree.settings.retries, some(eq(1)));
        expect_that!(node.fleet.contact(node.clock.now()).connectivity, eq(Connectivity::StoreOutage));
        let refused = make_change(node, &change_request(2)).await.unwrap_err();
        expect_that!(refused.to_string(), contains_substring("not in contact with the store"));
    }
}
