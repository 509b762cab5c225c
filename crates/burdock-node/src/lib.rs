//! The entry instance: listeners, sharded state, forwarding and administration.
//!
//! `burdock-decide` makes the decisions; this package collects their inputs and applies their results.

pub mod active_config;
pub mod admin;
pub mod cli;
pub mod clock;
pub mod compression;
pub mod demo;
pub mod demo_site;
pub mod entry;
pub mod fleet;
pub mod forward;
pub mod hedging;
pub mod limits;
pub mod node;
pub mod observe;
pub mod once;
pub mod peers;
pub mod phase;
pub mod settings;
pub mod shards;
pub mod shutdown;
pub mod site;
pub mod start;
