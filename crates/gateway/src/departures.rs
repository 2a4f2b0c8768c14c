//! Targets that have announced that they are leaving.
//!
//! An announcement is final for an incarnation. The store may learn of it later or not at all, and entries lapse and
//! come back, so announcements are kept apart from the list of targets.

use std::collections::HashMap;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use serde::{Deserialize, Serialize};

use crate::target::Target;

/// How long an announcement is kept. The process of a leaving target ends long before.
const RETENTION: Duration = Duration::from_secs(600);

/// How long hosts repeat an announcement to each other. A host that starts later gets it with the list of targets.
const REPEAT_DURATION: Duration = Duration::from_secs(15);

/// An incarnation that is leaving.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Departure {
    /// The id of the target.
    pub id: String,
    /// The start time of the incarnation in Unix milliseconds, if the platform tells it.
    pub started: Option<u64>,
}

impl Departure {
    /// Returns the departure of a target.
    pub fn of(target: &Target) -> Self {
        Self {
            id: target.id.clone(),
            started: target.started,
        }
    }

    /// Returns the departure of a target that this host does not know.
    pub fn unknown(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            started: None,
        }
    }

    /// Returns whether a target is the incarnation that is leaving. One with another start time has restarted.
    pub fn includes(&self, target: &Target) -> bool {
        let has_same_start = self.started.is_none() || target.started.is_none() || self.started == target.started;
        self.id == target.id && has_same_start
    }
}

/// The announcements that a host knows, its own and those of peers.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    known: HashMap<String, (Departure, Instant)>,
}

impl Departures {
    /// Adds an announcement; returns whether it is new.
    pub(crate) fn add(&mut self, now: Instant, departure: &Departure) -> bool {
        self.known.retain(|_, (_, at)| now.since(*at) < RETENTION);
        let known = self.known.get(&departure.id);
        if known.is_some_and(|(known, _)| known.started >= departure.started) {
            return false;
        }
        self.known.insert(departure.id.clone(), (departure.clone(), now));
        true
    }

    /// Returns whether a target has announced that it is leaving.
    pub(crate) fn includes(&self, target: &Target) -> bool {
        let known = self.known.get(&target.id);
        known.is_some_and(|(departure, _)| departure.includes(target))
    }

    /// Returns the announcements that some hosts may have missed when they were made.
    pub(crate) fn recent(&self, now: Instant) -> Vec<Departure> {
        let recent = self.known.values().filter(|(_, at)| now.since(*at) < REPEAT_DURATION);
        recent.map(|(departure, _)| departure.clone()).collect()
    }

    /// Returns all announcements.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Departure> {
        self.known.values().map(|(departure, _)| departure)
    }
}
