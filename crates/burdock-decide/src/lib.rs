//! The decisions of the system as plain functions over borrowed views.
//!
//! Time and random numbers are arguments. Nothing here does input or output, blocks, or knows how messages
//! are encoded, so another front end can use the same functions.

pub mod admit;
pub mod answer;
pub mod apportion;
pub mod backoff;
pub mod body_memory;
pub mod cold;
pub mod connectivity;
pub mod deadline;
pub mod departure;
pub mod directory;
pub mod entries;
pub mod headers;
pub mod hedge;
pub mod limit;
pub mod membership;
pub mod once;
pub mod pace;
pub mod pick;
pub mod pipeline;
pub mod place;
pub mod pressure;
pub mod quarantine;
pub mod region;
pub mod region_plan;
pub mod relay;
pub mod retry;
pub mod shares;
pub mod shift;
pub mod shutdown;
pub mod split;
pub mod steer;
pub mod time;
