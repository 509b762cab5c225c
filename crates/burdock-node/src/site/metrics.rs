//! Counters, gauges and latencies in the text format of Prometheus.

use std::convert::Infallible;
use std::fmt::Write;
use std::sync::Arc;

use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;

use crate::observe::counters::Counter;
use crate::observe::line_writer;
use crate::site::body::ResponseBody;
use crate::site::{SiteNode, admission, plan, status};

/// Path of the instance's status, as on the administration API of the project's own interface.
const STATUS_PATH: &str = "/v1/status";

/// Answers [`STATUS_PATH`] with the instance's status as JSON and any other path with all metrics.
///
/// # Errors
/// Never.
pub async fn handle(
    node: Arc<SiteNode>,
    req: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let (body, content_type) = if req.uri().path() == STATUS_PATH {
        (status::status(&node).to_string(), "application/json")
    } else {
        (text(&node), "text/plain; version=0.0.4")
    };
    let mut resp = Response::new(ResponseBody::buffered(body));
    resp.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    Ok(resp)
}

/// Returns all metrics, one line each.
#[must_use]
pub fn text(node: &SiteNode) -> String {
    let mut text = String::new();
    for counter in Counter::ALL {
        let name = counter.name().replace('.', "_");
        // Writing to a string does not fail.
        let _done = writeln!(text, "burdock_{name} {}", node.counters.get(*counter));
    }
    let now = node.clock.now();
    let store_age = node.mirror.confirmed_at().map_or(-1.0, |at| now.since(at).as_secs_f64());
    let (slow_backends, phase_length) = node.backends.slow_backends(now);
    let gauges = [
        ("config_version", node.config.load().published.version as f64),
        ("config_age_s", node.config_age(now).map_or(-1.0, |age| age.as_secs_f64())),
        ("config_rejected_revision", node.rejected_config.load().as_ref().map_or(0, |r| r.revision) as f64),
        ("body_memory_bytes", node.body_memory.capacity_bytes() as f64),
        ("body_memory_free_bytes", node.body_memory.free_bytes() as f64),
        ("requests_in_flight", node.in_flight() as f64),
        ("hedge_limit", node.hedge_limits.load().limit.unwrap_or(node.settings.hedge_limit).share()),
        ("instances_listed", node.fleet.view().listed.len() as f64),
        ("store_calls", node.kv.budget().total_calls() as f64),
        ("store_age_s", store_age),
        ("store_era", node.mirror.position().map_or(-1.0, |p| p.era as f64)),
        ("backends_slow", slow_backends as f64),
        ("slow_phase_ms", phase_length.as_secs_f64() * 1e3),
        ("log_lines_dropped", line_writer::dropped() as f64),
    ];
    for (name, value) in gauges {
        let _done = writeln!(text, "burdock_{name} {value}");
    }
    for (name, pressure) in admission::pressures(node, now) {
        for (gauge, value) in pressure.figures() {
            let _done = writeln!(text, "burdock_service_{gauge}{{service=\"{name}\"}} {value:.3}");
        }
    }
    text + &plan::metrics(node)
        + &node.latency.answered.text("answered")
        + &node.latency.refused.text("refused")
}
