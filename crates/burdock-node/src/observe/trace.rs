//! Traces: a span for each hop, with `traceparent` in and out.

use fastrace::collector::{Config, Reporter, SpanRecord};
use fastrace::prelude::{Span, SpanContext};

/// Starts the collector. Spans go to standard error as JSON, one a line.
pub fn init() {
    fastrace::set_reporter(JsonLines, Config::default());
}

/// The trace of one request.
#[derive(Debug)]
pub struct Trace {
    root: Option<Span>,
    incoming: Option<String>,
}

impl Trace {
    /// Begins a trace if its caller asked for it by `traceparent`, or if it is `sampled` here.
    #[must_use]
    pub fn begin(traceparent: Option<&str>, sampled: bool) -> Self {
        let parent = traceparent.and_then(SpanContext::decode_w3c_traceparent);
        let wanted = sampled || parent.is_some_and(|p| p.sampled);
        let root = wanted.then(|| {
            let parent = parent.unwrap_or_else(SpanContext::random);
            Span::root("request", SpanContext::new(parent.trace_id, parent.span_id).sampled(true))
        });
        Self { root, incoming: traceparent.map(str::to_owned) }
    }

    /// A span for one hop. It ends when dropped.
    pub fn hop(&self, name: &'static str) -> Span {
        self.root.as_ref().map_or_else(Span::noop, |root| Span::enter_with_parent(name, root))
    }

    /// The `traceparent` for the next hop: a traced request's own, else the one that came in.
    #[must_use]
    pub fn outgoing(&self) -> Option<String> {
        let own = self.root.as_ref().and_then(SpanContext::from_span);
        own.map(|cx| cx.encode_w3c_traceparent()).or_else(|| self.incoming.clone())
    }
}

struct JsonLines;

impl Reporter for JsonLines {
    fn report(&mut self, spans: Vec<SpanRecord>) {
        for span in spans {
            let line = serde_json::json!({
                "trace": span.trace_id.to_string(),
                "span": span.span_id.to_string(),
                "parent": span.parent_id.to_string(),
                "name": span.name,
                "begin_us": span.begin_time_unix_ns / 1000,
                "duration_us": span.duration_ns / 1000,
                "properties": span.properties.iter().map(|(k, v)| format!("{k}={v}")).collect::<Vec<_>>(),
            });
            eprintln!("{line}");
        }
    }
}
