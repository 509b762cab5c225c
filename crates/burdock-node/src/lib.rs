//! node
