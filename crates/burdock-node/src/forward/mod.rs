//! Forwarding of admitted requests to backend servers.

pub mod admission;
pub mod attempt;
pub mod backends;
pub mod body;
pub mod hedge;
pub mod link_use;
pub mod outbound;
pub mod pool;
pub mod quarantine;
pub mod run;
