//! Names and numbers that identify the parts of a deployment.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind};

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 64;

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name after checking its length and characters.
            ///
            /// # Errors
            /// [`ErrorKind::InvalidTree`] when the text is empty, longer than [`MAX_NAME_BYTES`], begins
            /// with `.` or contains characters other than ASCII letters, digits, `-`, `_` and `.`.
            pub fn new(text: &str) -> Result<Self, Error> {
                check_name(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// Returns the name as text.
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
    /// Name of an organisation that callers belong to.
    OrganisationName
);
name!(
    /// Name of a service: a set of backend servers that serve the same routes.
    ServiceName
);
name!(
    /// Name of a route within a service.
    RouteName
);
name!(
    /// Name of a region.
    RegionName
);
name!(
    /// Name of an availability zone.
    ZoneName
);
name!(
    /// Id of an instance, as written in its settings.
    InstanceId
);
name!(
    /// Id of a backend server.
    BackendId
);
name!(
    /// Public part of an API key.
    KeyId
);
name!(
    /// Id of an accepted configuration change.
    ChangeId
);

/// Number of an instance's run. Each restart takes a higher number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u32);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Version number of the configuration tree. Only a higher revision replaces a lower one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One run of an instance's process, written `instance/incarnation` in headers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceIncarnation {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Number of the run.
    pub incarnation: Incarnation,
}

impl InstanceIncarnation {
    /// Parses the form used in headers. Returns `None` when it is malformed.
    ///
    /// ```
    /// use burdock_model::ids::InstanceIncarnation;
    /// let run = InstanceIncarnation::parse("riga-1/1f").unwrap();
    /// assert_eq!(run.incarnation.0, 0x1f);
    /// assert_eq!(run.to_string(), "riga-1/1f");
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
    Err(Error::new(ErrorKind::InvalidTree, format!("invalid name `{text}`"))
        .hint(format!("a name has 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` or `.`")))
}
