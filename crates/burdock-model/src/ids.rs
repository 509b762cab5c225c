//! Names and numbers that identify things.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind};

/// The longest name accepted, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Checks and stores a name.
            ///
            /// # Errors
            /// [`ErrorKind::InvalidTree`] when the name is empty, too long or has other
            /// characters than letters, digits, `-`, `_` and `.`.
            pub fn new(text: &str) -> Result<Self, Error> {
                check_name(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self, Error> {
                Self::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &self.0)
            }
        }
    };
}

name!(
    /// An organisation: the tenant that callers belong to.
    OrganisationName
);
name!(
    /// A service: a set of backend servers that answer the same routes.
    ServiceName
);
name!(
    /// A route within a service.
    RouteName
);
name!(
    /// A region.
    RegionName
);
name!(
    /// An availability zone.
    ZoneName
);
name!(
    /// An entry instance, by the name in its settings.
    InstanceId
);
name!(
    /// A backend server.
    BackendId
);
name!(
    /// The public part of a key.
    KeyId
);
name!(
    /// One accepted change of the configuration.
    ChangeId
);

/// One life of an instance. A restart takes a higher number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u32);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// The order of configurations. Only a higher revision replaces a lower one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One life of one instance, written `instance/incarnation` in headers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceIncarnation {
    /// The instance.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
}

impl InstanceIncarnation {
    /// Reads the header form.
    ///
    /// ```
    /// use burdock_model::ids::InstanceIncarnation;
    /// let life = InstanceIncarnation::parse("riga-1/1f").unwrap();
    /// assert_eq!(life.incarnation.0, 0x1f);
    /// assert_eq!(life.to_string(), "riga-1/1f");
    /// assert!(InstanceIncarnation::parse("riga-1").is_none());
    /// ```
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (instance, incarnation) = text.split_once('/')?;
        let instance = InstanceId::new(instance).ok()?;
        let incarnation = u32::from_str_radix(incarnation, 16).ok()?;
        Some(Self { instance, incarnation: Incarnation(incarnation) })
    }
}

impl fmt::Display for InstanceIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.instance, self.incarnation)
    }
}

fn check_name(text: &str) -> Result<(), Error> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(allowed) && !text.starts_with('.')
    {
        return Ok(());
    }
    Err(Error::new(ErrorKind::InvalidTree, format!("`{text}` is not a name"))
        .hint(format!("a name has 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` or `.`")))
}
