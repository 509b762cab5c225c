//! Domain types: ids, units, the settings tree with its inheritance, and the errors with the answer to each.
//!
//! This package does no input or output and is independent of any transport.

pub mod blocks;
pub mod error;
pub mod fleet;
pub mod hash;
pub mod hedging;
pub mod ids;
pub mod jsonc;
pub mod key;
pub mod manifest;
pub mod prelude;
pub mod resolve;
pub mod settings;
pub mod site;
pub mod site_check;
pub mod site_settings;
pub mod snapshot;
pub mod store_position;
pub mod tree;
pub mod treepath;
pub mod units;
