//! Types that most modules use.

pub use crate::error::{Error, ErrorKind, Outcome, Result};
pub use crate::ids::{
    BackendId, ChangeId, Incarnation, InstanceId, KeyId, OrganisationName, RegionName, Revision, RouteName,
    ServiceName, ZoneName,
};
pub use crate::snapshot::Snapshot;
pub use crate::store_position::StorePosition;
pub use crate::tree::Tree;
pub use crate::units::{Millis, Rate, Size};
