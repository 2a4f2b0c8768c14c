//! Types of the platform's object API, and a rate limiter for calls to it.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use crate::clock::Instant;

/// The API group and version of all objects.
pub const API_VERSION: &str = "hawthornpost.dev/v1";

/// The largest value that the platform stores, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// A kind of object, identified by its plural name in paths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Resource {
    /// The head of the configuration.
    ConfigHeads,
    /// The chunks of configuration versions.
    ConfigChunks,
    /// The shards of claims and their sealed segments.
    Claims,
    /// Leases.
    Leases,
    /// The entry hosts, as announced by themselves.
    Entries,
    /// The verdicts of rollouts.
    Verdicts,
    /// The platform's own list of hosts.
    Hosts,
}

impl Resource {
    /// Returns the name in paths.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ConfigHeads => "configheads",
            Self::ConfigChunks => "configchunks",
            Self::Claims => "claims",
            Self::Leases => "leases",
            Self::Entries => "entries",
            Self::Verdicts => "verdicts",
            Self::Hosts => "hosts",
        }
    }

    /// Returns the `kind` field of the objects.
    pub const fn kind(self) -> &'static str {
        match self {
            Self::ConfigHeads => "ConfigHead",
            Self::ConfigChunks => "ConfigChunk",
            Self::Claims => "Claim",
            Self::Leases => "Lease",
            Self::Entries => "Entry",
            Self::Verdicts => "Verdict",
            Self::Hosts => "Host",
        }
    }

    /// Returns the path of the collection, or of one object in it.
    ///
    /// ```
    /// use hawthornpost_core::platform::Resource;
    ///
    /// assert_eq!(Resource::Leases.path(Some("orders")), "/apis/hawthornpost.dev/v1/leases/orders");
    /// ```
    pub fn path(self, name: Option<&str>) -> String {
        let plural = self.as_str();
        match name {
            None => format!("/apis/{API_VERSION}/{plural}"),
            Some(name) => format!("/apis/{API_VERSION}/{plural}/{name}"),
        }
    }
}

/// The version of an object, which increases with every write.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(#[serde_as(as = "DisplayFromStr")] u64);

impl Version {
    /// Returns the number.
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}

impl From<u64> for Version {
    fn from(number: u64) -> Self {
        Self(number)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// An object with its metadata.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Object<S> {
    /// The group and version, [`API_VERSION`].
    #[serde(default)]
    pub api_version: String,
    /// The kind, as [`Resource::kind`] returns it.
    #[serde(default)]
    pub kind: String,
    /// The name and the version.
    pub metadata: Metadata,
    /// The contents.
    pub spec: S,
}

/// The name and the version of an object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Metadata {
    /// The name, unique in its collection.
    #[serde(default)]
    pub name: String,
    /// The version that an update is conditional on; absent when creating an object.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resource_version: Option<Version>,
}

impl<S> Object<S> {
    /// Returns an object to write on condition that the stored one has version `base`, or to create without one.
    pub fn new(plural: Resource, name: impl Into<String>, base: Option<Version>, spec: S) -> Self {
        Self {
            api_version: API_VERSION.to_owned(),
            kind: plural.kind().to_owned(),
            metadata: Metadata {
                name: name.into(),
                resource_version: base,
            },
            spec,
        }
    }
}

/// The body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The status code.
    pub code: u16,
    /// Why the call failed.
    pub reason: Reason,
    /// A human-readable description.
    #[serde(default)]
    pub message: String,
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// An object with this name exists already.
    AlreadyExists,
    /// The object does not have the version that the update is conditional on.
    Conflict,
    /// There is no such object.
    NotFound,
    /// The start version of a watch is too old.
    Expired,
    /// The call rate is too high.
    TooManyRequests,
    /// Any other reason.
    #[serde(other)]
    Other,
}

/// One event of a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", content = "object", rename_all = "UPPERCASE")]
pub enum Change<S> {
    /// An object was created.
    Added(Object<S>),
    /// An object was updated.
    Modified(Object<S>),
    /// An object was deleted.
    Deleted(Object<S>),
    /// All changes up to this version were sent. Bookmarks also show that the connection is alive.
    Bookmark(Bookmark),
    /// The watch ended.
    Error(Status),
}

/// The contents of a bookmark event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bookmark {
    /// The metadata, of which only the version is set.
    pub metadata: Metadata,
}

/// Why a call failed, by its possible effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Failure {
    /// The object had another version, or existed already; the call had no effect.
    Conflict,
    /// There is no such object; the call had no effect.
    Missing,
    /// The call was not sent or was rejected; it had no effect and will have none.
    Refused,
    /// The call was sent but no response arrived; it may have taken effect or may still do so.
    Lost,
}

/// A rate limiter for calls, based on the generic cell rate algorithm.
///
/// ```
/// use hawthornpost_core::{clock::Instant, platform::Budget};
///
/// let mut budget = Budget::new(10, 1);
/// assert!(budget.take(Instant::ZERO));
/// assert!(!budget.take(Instant::ZERO));
/// assert!(budget.take(Instant::from_millis(100)));
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    interval: Duration,
    burst: Duration,
    // The theoretical arrival time: when the calls made so far would end if they were evenly spaced.
    theoretical_arrival: Instant,
}

impl Budget {
    /// Creates a limiter for `per_second` calls per second with bursts of up to `burst` calls.
    pub fn new(per_second: u32, burst: u32) -> Self {
        Self::with_interval(Duration::from_secs(1) / per_second.max(1), burst)
    }

    /// Creates a limiter for a call per interval with bursts of up to `burst` calls.
    pub fn with_interval(interval: Duration, burst: u32) -> Self {
        Self {
            interval,
            burst: interval * burst.max(1),
            theoretical_arrival: Instant::ZERO,
        }
    }

    /// Consumes one call if the limiter allows it now, and returns whether it does.
    pub fn take(&mut self, now: Instant) -> bool {
        let theoretical_arrival = self.theoretical_arrival.max(now) + self.interval;
        let allowed = theoretical_arrival.since(now) <= self.burst;
        if allowed {
            self.theoretical_arrival = theoretical_arrival;
        }
        allowed
    }

    /// Returns when the next call is allowed.
    pub fn ready_at(&self, now: Instant) -> Instant {
        let wait = (self.theoretical_arrival.since(now) + self.interval).saturating_sub(self.burst);
        now + wait
    }
}
