//! Stand-ins for the platform's key-value store and for backend servers.
//!
//! The demo, the tests and the benches run against them. Faults are injected by calls or over HTTP.

pub mod backend;
pub mod sample;
pub mod site;
pub mod store;
