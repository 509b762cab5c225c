//! The operators' API.

pub mod blocks;
pub mod change;
pub mod explain;
pub mod router;
pub mod status;
