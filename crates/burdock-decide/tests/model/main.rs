//! Model checks of the core protocol, built on the functions that an instance runs in production.
//!
//! Each module defines a small state machine, which is searched breadth first. A violation is reported with
//! the shortest trace to it. Each mutation of the protocol must be caught, which shows that the checks can
//! fail.

mod changes;
mod model_state;
mod once;
mod search;
mod shares;
