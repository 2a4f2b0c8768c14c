//! Typed names and ids.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::error::{Error, Kind, Result};

/// The longest name in bytes; a DNS label is limited to the same length.
const MAX_NAME_BYTES: usize = 63;

fn check_name(kind: &'static str, name: &str) -> Result<()> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':');
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(allowed) {
        return Err(Error::from(Kind::InvalidName {
            kind,
            name: name.chars().take(MAX_NAME_BYTES).collect(),
        }));
    }
    Ok(())
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(Arc<str>);

        impl $type {
            /// Validates and creates a name.
            ///
            /// # Errors
            ///
            /// Fails when the name is empty, longer than 63 bytes, or contains a character other than ASCII letters,
            /// digits, `-`, `_`, `.` and `:`.
            pub fn new(name: impl AsRef<str>) -> Result<Self> {
                check_name($kind, name.as_ref())?;
                Ok(Self(Arc::from(name.as_ref())))
            }

            /// Returns the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $type {
            type Error = Error;

            fn try_from(name: String) -> Result<Self> {
                Self::new(name)
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> Self {
                name.as_str().to_owned()
            }
        }

        impl FromStr for $type {
            type Err = Error;

            fn from_str(name: &str) -> Result<Self> {
                Self::new(name)
            }
        }

        impl AsRef<str> for $type {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name!(
    /// An entry host.
    Entry,
    "entry"
);
name!(
    /// An engine or a plain service that requests are routed to.
    Target,
    "target"
);
name!(
    /// A client account.
    Account,
    "account"
);
name!(
    /// A model that engines serve.
    Model,
    "model"
);
name!(
    /// A version of a model or a service.
    Version,
    "version"
);
name!(
    /// A plain service.
    Service,
    "service"
);
name!(
    /// A data centre.
    DataCentre,
    "data centre"
);
name!(
    /// A region, which consists of data centres.
    Region,
    "region"
);
name!(
    /// A group of requests that a rollout evaluates separately, such as the requests of one account.
    Route,
    "route"
);
name!(
    /// A gradual rollout from one version to another.
    Rollout,
    "rollout"
);

macro_rules! id {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $type(Uuid);

        impl $type {
            /// Creates an id from 16 random bytes.
            pub const fn from_random(bytes: [u8; 16]) -> Self {
                Self(uuid::Builder::from_random_bytes(bytes).into_uuid())
            }

            /// Returns the 16 bytes of the id.
            pub const fn as_bytes(&self) -> &[u8; 16] {
                self.0.as_bytes()
            }
        }

        impl FromStr for $type {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                Uuid::from_str(text).map(Self).map_err(|source| Error::from(Kind::InvalidId { source }))
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl fmt::Debug for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
    };
}

id!(
    /// One request of a caller.
    Request
);
id!(
    /// A sequence of tokens of one request; every takeover by another entry starts a new branch.
    Branch
);
id!(
    /// One claim of an action.
    Claim
);
id!(
    /// One order to an engine.
    Order
);

/// The number of low bits of an attempt number that count attempts within one epoch.
const ATTEMPT_BITS: u32 = 16;

/// The number of an attempt at one request.
///
/// The high bits hold the epoch, which increases with every takeover by another entry. Every attempt of a new owner is
/// therefore higher than all attempts of earlier owners.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Attempt(u64);

impl Attempt {
    /// Returns the first attempt of an epoch.
    pub const fn first(epoch: u32) -> Self {
        Self((epoch as u64) << ATTEMPT_BITS)
    }

    /// Returns the next attempt.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the epoch.
    pub const fn epoch(self) -> u64 {
        self.0 >> ATTEMPT_BITS
    }

    /// Returns the number.
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}

impl From<u64> for Attempt {
    fn from(number: u64) -> Self {
        Self(number)
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}
