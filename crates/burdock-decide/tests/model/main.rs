//! Model checks of the core protocol, over the functions that the node runs.
//!
//! Each specification is a small set of states and steps, searched breadth first. A violation comes with the
//! shortest trace to it. Mutations of the protocol must each be caught, which shows that the checks can fail.

mod changes;
mod once;
mod search;
mod shares;
mod world;
