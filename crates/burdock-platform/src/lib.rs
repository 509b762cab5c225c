//! The platform's interfaces: the key-value store and the instance list.
