//! Traces: a span for each hop, with `traceparent` in and out (W3C Trace Context).
//!
//! Kept small here in place of a tracing library whose clock is calibrated in a busy loop before `main`.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The only version of `traceparent` that is written.
const VERSION: &str = "00";

/// The flag of a traced request.
const SAMPLED: u8 = 1;

/// The trace of one request.
#[derive(Debug)]
pub struct Trace {
    root: Option<RootSpan>,
    incoming: Option<String>,
}

#[derive(Debug)]
struct RootSpan {
    cx: SpanContext,
    // Ends with the trace, after all hops.
    _span: Span,
}

/// Identifies a span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SpanContext {
    trace: u128,
    span: u64,
    sampled: bool,
}

/// A span of a trace. It is written when it is dropped.
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
    /// Begins a trace if its caller asked for it by `traceparent`, or if it is `sampled` here.
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

    /// A span for one hop. It ends when dropped.
    pub fn start_span(&self, name: &'static str) -> Span {
        let Some(root) = &self.root else {
            return Span(None);
        };
        Span::open(SpanContext { span: rand::random(), ..root.cx }, root.cx.span, name)
    }

    /// The `traceparent` for the next hop: a traced request's own, else the one that came in.
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
        Some(Self { trace, span, sampled: flags & SAMPLED != 0 })
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
