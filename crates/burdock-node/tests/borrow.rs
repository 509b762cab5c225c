//! Borrowing of tokens by an instance that has just started.

use std::sync::Arc;
use std::time::Duration;

use burdock_decide::membership::HeartbeatSource;
use burdock_model::ids::Incarnation;
use burdock_node::demo::{DemoSettings, listed_instance};
use burdock_node::fleet::{exchange, install};
use burdock_node::limits::{borrow, records};
use burdock_node::node::{Node, NodeParts};
use burdock_platform::http::HttpStoreBuilder;
use burdock_standin::store::Fault;
use burdock_wire::client::PeerClient;
use burdock_wire::messages::{Hello, PeerAddress};
use googletest::prelude::*;

// No record is written during a store outage, so a restarted instance must be able to borrow whether it
// learns the records or the incarnations that they name first.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn instance_that_learns_records_before_their_holders_can_borrow() {
    let mut demo = DemoSettings::default().instances(3).backends(1).start().await.unwrap();
    demo.store.inject(Fault { down_ms: Some(600_000), ..Fault::default() });
    let holder = Arc::clone(&demo.nodes[0].node);
    let previous = demo.nodes.pop().unwrap();
    let settings = previous.node.settings.clone();
    let incarnation = Incarnation(previous.node.incarnation.incarnation.0 + 1);
    previous.stop_at_once();

    let mut own_incarnation = holder.incarnation.clone();
    own_incarnation.instance = settings.instance.clone();
    own_incarnation.incarnation = incarnation;
    let hello =
        Hello { incarnation: own_incarnation, region: settings.region.clone(), zone: settings.zone.clone() };
    let peers = PeerClient::start(hello, 1).unwrap();
    let (store, store_calls) = HttpStoreBuilder::new(settings.store.address).build();
    let node = Arc::new(Node::new(NodeParts { settings, incarnation, store, store_calls, peers }));

    let list: Vec<_> =
        demo.nodes.iter().map(|n| listed_instance(&n.node.settings, &n.node.settings.listen)).collect();
    node.fleet.apply_instance_list(&list, node.clock.now());
    let peer = PeerAddress { id: holder.incarnation.instance.clone(), address: holder.settings.listen.peers };
    let revision = holder.active_config.load().snapshot.revision;
    install::install_revision(&node, revision, Some(&peer)).await.unwrap();
    for bucket in holder.limits.records.all_buckets() {
        node.limits.records.apply_bucket(&bucket, node.clock.now()).unwrap();
    }
    records::apply_allotments(&node);

    let payload = exchange::build_exchange(&holder, 16);
    exchange::merge_exchange(&node, &payload, HeartbeatSource::Reply(node.clock.now()));
    let organisation = holder.active_config.load().snapshot.organisations[0].name.clone();
    let deadline = node.clock.now() + Duration::from_secs(2);
    expect_that!(borrow::acquire_token(&node, &organisation, deadline).await, ok(anything()));
}
