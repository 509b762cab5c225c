//! Traces with a span for each step of a request. `traceparent` is read and sent on (W3C Trace Context).
//!
//! Replaces a tracing library, whose clock is calibrated in a busy loop before `main`.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Version of `traceparent` that is read and written.
const VERSION: &str = "00";

/// Flag bit of a traced request.
const SAMPLED_FLAG: u8 = 1;

/// The trace of one request.
#[derive(Debug)]
pub struct Trace {
    root: Option<RootSpan>,
    incoming: Option<String>,
}

#[derive(Debug)]
struct RootSpan {
    cx: SpanContext,
    // Written when the trace is dropped, after the spans of all steps.
    _span: Span,
}

/// Ids of a trace and of a span in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SpanContext {
    trace: u128,
    span: u64,
    sampled: bool,
}

/// A span of a trace. It is written to standard error when it is dropped.
#[derive(Debug)]
pub struct Span(Option<OpenSpan>);

#[derive(Debug)]
struct OpenSpan {
    cx: SpanContext,
    parent: u64,
    name: &'static str,
    started_at: Instant,
    started_at_us: u128,
}

impl Trace {
    /// Starts a trace if the caller requests one in `traceparent` or the request is `sampled` here.
    #[must_use]
    pub fn start(traceparent: Option<&str>, sampled: bool) -> Self {
        let parent = traceparent.and_then(SpanContext::parse);
        let wanted = sampled || parent.is_some_and(|p| p.sampled);
        let root = wanted.then(|| {
            let parent = parent.unwrap_or_else(|| SpanContext { span: 0, ..SpanContext::random() });
            let cx = SpanContext { span: rand::random(), sampled: true, ..parent };
            RootSpan { cx, _span: Span::open(cx, parent.span, "request") }
        });
        Self { root, incoming: traceparent.map(str::to_owned) }
    }

    /// Starts a span for one step of the request. It ends when it is dropped.
    pub fn start_span(&self, name: &'static str) -> Span {
        let Some(root) = &self.root else {
            return Span(None);
        };
        Span::open(SpanContext { span: rand::random(), ..root.cx }, root.cx.span, name)
    }

    /// Returns the `traceparent` to send on: that of the trace, or the received one without a trace.
    #[must_use]
    pub fn outgoing(&self) -> Option<String> {
        self.root.as_ref().map(|root| root.cx.encode()).or_else(|| self.incoming.clone())
    }
}

impl SpanContext {
    fn random() -> Self {
        Self { trace: rand::random(), span: rand::random(), sampled: true }
    }

    fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('-');
        let (version, trace, span, flags) = (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
        if version != VERSION || trace.len() != 32 || span.len() != 16 {
            return None;
        }
        let flags = u8::from_str_radix(flags, 16).ok()?;
        let trace = u128::from_str_radix(trace, 16).ok().filter(|trace| *trace != 0)?;
        let span = u64::from_str_radix(span, 16).ok().filter(|span| *span != 0)?;
        Some(Self { trace, span, sampled: flags & SAMPLED_FLAG != 0 })
    }

    fn encode(self) -> String {
        format!("{VERSION}-{:032x}-{:016x}-{:02x}", self.trace, self.span, u8::from(self.sampled))
    }
}

impl Span {
    fn open(cx: SpanContext, parent: u64, name: &'static str) -> Self {
        let started_at_us = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros();
        Self(Some(OpenSpan { cx, parent, name, started_at: Instant::now(), started_at_us }))
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        let Some(open) = &self.0 else {
            return;
        };
        let line = serde_json::json!({
            "trace": format!("{:032x}", open.cx.trace),
            "span": format!("{:016x}", open.cx.span),
            "parent": format!("{:016x}", open.parent),
            "name": open.name,
            "begin_us": open.started_at_us,
            "duration_us": open.started_at.elapsed().as_micros(),
        });
        eprintln!("{line}");
    }
}
