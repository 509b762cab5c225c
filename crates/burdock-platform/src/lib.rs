//! The platform's interfaces: the key-value store and the list of instances.
//!
//! Each is a struct of closures, so that tests put their own in place of the HTTP client.

pub mod budget;
pub mod config;
pub mod http;
pub mod protocol;
pub mod store;
