//! Metrics over UDP.

use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};

use crate::node::Node;
use crate::observe::counters::Counter;

/// Time between two sendings.
const INTERVAL: Duration = Duration::from_secs(1);

const PREFIX: &str = "burdock";

/// A client that sends to the address of the settings, or nowhere.
///
/// # Errors
/// When no UDP socket can be had.
pub fn client(node: &Node) -> std::io::Result<StatsdClient> {
    let Some(settings) = node.settings.metrics else {
        return Ok(StatsdClient::from_sink(PREFIX, NopMetricSink));
    };
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(settings.statsd, socket).map_err(std::io::Error::other)?;
    let sink = QueuingMetricSink::from(sink);
    let client = StatsdClient::builder(PREFIX, sink)
        .with_tag("instance", node.incarnation.instance.as_str())
        .with_tag("zone", node.settings.zone.as_str())
        .build();
    Ok(client)
}

/// Sends what was counted since the last sending, again and again.
pub async fn send_loop(node: Arc<Node>, client: StatsdClient) {
    let mut sent = vec![0; Counter::ALL.len()];
    let mut tick = tokio::time::interval(INTERVAL);
    loop {
        tick.tick().await;
        for (counter, sent) in Counter::ALL.iter().zip(&mut sent) {
            let total = node.counters.get(*counter);
            let fresh = total - *sent;
            *sent = total;
            if fresh > 0 {
                // Metrics that can't be sent are lost; the next interval's are not.
                let _lost = client.count(counter.name(), i64::try_from(fresh).unwrap_or(i64::MAX));
            }
        }
        send_gauges(&node, &client);
    }
}

fn send_gauges(node: &Node, client: &StatsdClient) {
    let gauges = [
        ("config.revision", node.active_config.load().snapshot.revision.0),
        ("requests.in_flight", node.in_flight() as u64),
        ("fleet.connectivity", node.fleet.contact(node.clock.now()).connectivity as u64),
        ("store.calls", node.store_calls.total()),
    ];
    for (name, value) in gauges {
        let _lost = client.gauge(name, value);
    }
}
