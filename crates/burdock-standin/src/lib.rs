//! Stand-ins for what the platform gives: the key-value store and backend servers.
//!
//! They serve the demo, the tests and the benches, and take faults over HTTP.

pub mod backend;
pub mod sample;
pub mod site;
pub mod store;
