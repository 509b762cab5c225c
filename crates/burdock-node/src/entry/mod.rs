//! HTTP front end for callers.

pub mod answer;
pub mod guarded;
pub mod handle;
pub mod head;
pub mod serve;
pub mod steer;
