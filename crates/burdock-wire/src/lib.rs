//! Protocol between instances: typed messages, their encoding, and sessions over TCP.
//!
//! Messages are plain structs. [`client::PeerClient`] calls other instances, and [`server::Handlers`] answer
//! their calls. Sessions run on threads of their own, since objects of the RPC library can't move between
//! threads.

pub mod client;
mod convert;
mod keep_alive;
pub mod messages;
pub mod server;
mod threads;

/// Code that `generate.sh` generates from `schema/peer.capnp`.
#[allow(warnings, clippy::all, clippy::pedantic, missing_docs, reason = "generated code")]
#[doc(hidden)]
pub mod peer_capnp {
    include!("generated/peer_capnp.rs");
}
