//! Metrics sent to a StatsD server over UDP.

use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};

use crate::node::Node;
use crate::observe::counters::Counter;

/// Interval at which metrics are sent.
const SEND_INTERVAL: Duration = Duration::from_secs(1);

/// Prefix of the names of all metrics.
const PREFIX: &str = "burdock";

/// Creates a client that sends to the address in the settings, or discards all metrics if there is none.
///
/// # Errors
/// When no UDP socket can be opened.
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

/// Sends at each interval what was counted in it, and the current gauges.
pub async fn send_loop(node: Arc<Node>, client: StatsdClient) {
    let mut sent = vec![0; Counter::ALL.len()];
    let mut tick = tokio::time::interval(SEND_INTERVAL);
    loop {
        tick.tick().await;
        for (counter, sent) in Counter::ALL.iter().zip(&mut sent) {
            let total = node.counters.get(*counter);
            let increase = total - *sent;
            *sent = total;
            if increase > 0 {
                // Counts that can't be sent are lost; those of the next interval are sent as usual.
                let _lost = client.count(counter.name(), i64::try_from(increase).unwrap_or(i64::MAX));
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
        ("store.calls", node.store_calls.total_calls()),
    ];
    for (name, value) in gauges {
        let _lost = client.gauge(name, value);
    }
}
