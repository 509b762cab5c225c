//! What an instance tells of itself: counters, metrics, log lines and traces.

pub mod counters;
pub mod logs;
pub mod metrics;
pub mod trace;
