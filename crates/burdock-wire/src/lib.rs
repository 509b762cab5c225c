//! The inner protocol between instances: typed messages, their encoding, and sessions over TCP.
//!
//! Messages are plain structs. [`client::PeerClient`] calls other instances; [`server::Handlers`] answers
//! them. Sessions run on threads of their own, since the RPC library's objects stay on one thread.

pub mod client;
mod convert;
pub mod messages;
pub mod server;
mod threads;

/// Code generated from `schema/peer.capnp` by `generate.sh`.
#[allow(warnings, clippy::all, clippy::pedantic, missing_docs, reason = "generated code")]
#[doc(hidden)]
pub mod peer_capnp {
    include!("generated/peer_capnp.rs");
}
