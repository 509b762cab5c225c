//! Observability of an instance: counters, metrics, log lines and traces.

pub mod counters;
pub mod latency;
pub mod line_writer;
pub mod logs;
pub mod metrics;
pub mod trace;
