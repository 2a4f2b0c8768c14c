//! Numbered log events.
//!
//! Operators search logs and define alerts by event number, so texts may be reworded. `docs/events.md` describes the
//! remedy for each event; a test compares it with this catalogue. Developer messages have level debug and no number.

use std::fmt::{self, Display};

use log::Level;

use crate::metric;

/// The key of the event number in a log record.
pub(crate) const NUMBER_KEY: &str = "event";

/// The description of an event in the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The name of the variant.
    pub name: &'static str,
    /// The number.
    pub number: u16,
    /// The level.
    pub level: Level,
    /// The message template with the names of its fields.
    pub text: &'static str,
}

macro_rules! events {
    ($($(#[$doc:meta])* $number:literal $level:ident $name:ident { $($field:ident),* } $text:literal)+) => {
        /// A log event for operators.
        ///
        /// Fields are borrowed and formatted only when the level is enabled.
        #[derive(Clone, Copy)]
        pub enum Event<'a> {
            $($(#[$doc])* $name {
                $(
                    #[doc = concat!("The value of `{", stringify!($field), "}` in the text.")]
                    $field: &'a dyn Display,
                )*
            },)+
        }

        /// All events in ascending order of their numbers.
        pub const CATALOGUE: &[Listed] = &[
            $(Listed { name: stringify!($name), number: $number, level: Level::$level, text: $text },)+
        ];

        impl Event<'_> {
            /// Returns the number.
            pub fn number(&self) -> u16 {
                match self {
                    $(Self::$name { .. } => $number,)+
                }
            }

            /// Returns the level.
            pub fn level(&self) -> Level {
                match self {
                    $(Self::$name { .. } => Level::$level,)+
                }
            }
        }

        impl Display for Event<'_> {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                match self {
                    $(Self::$name { $($field),* } => write!(f, $text),)+
                }
            }
        }
    };
}

events! {
    /// The daemon has started and accepts work.
    101 Info Running { entry, version } "entry {entry} is running, release {version}"
    /// A shutdown has begun.
    102 Info Leaving { lifetime } "leaving: the address is no longer advertised; callers may use it for {lifetime}"
    /// The daemon accepts no new work.
    103 Info Draining { work } "draining: {work} units of work are running"
    /// The daemon exits.
    104 Info Stopped {} "stopped"
    /// The drain limit has passed.
    105 Info HandingOver { work } "the drain limit has passed: {work} units of work are handed over"
    /// The listener cannot accept a connection.
    111 Warn AcceptFailed { error } "cannot accept a connection: {error}"
    /// A new configuration version is active.
    201 Info ConfigurationApplied { version } "configuration version {version} is applied"
    /// The configuration cannot be read.
    202 Warn ConfigurationUnread { error } "cannot read the configuration: {error}"
    /// An accepted version was replaced because the platform was restored from an older state.
    203 Warn ConfigurationDisplaced { version, author } "configuration version {version} of {author} was displaced; apply it again"
    /// A configuration version cannot be used and is skipped.
    204 Warn ConfigurationUndecodable { version, error } "configuration version {version} cannot be used: {error}"
    /// The platform had an older state than this entry host.
    205 Warn ConfigurationRestored { version } "the platform had an older state; configuration version {version} is written again"
    /// Calls to the platform fail.
    211 Warn PlatformLost { error } "the platform does not answer: {error}"
    /// Calls to the platform succeed again.
    212 Info PlatformBack {} "the platform answers again"
    /// Another entry host is reachable.
    301 Info MemberFound { entry, address } "entry {entry} at {address} is reachable"
    /// Another entry host is not reachable.
    302 Warn MemberLost { entry, error } "entry {entry} is not reachable: {error}"
    /// A rollout is complete; all traffic of the model uses the new version.
    311 Info RolloutDone { rollout } "rollout {rollout} is done"
    /// A rollout was rolled back; all traffic of the model uses the old version.
    312 Warn RolloutReversed { rollout, reason } "rollout {rollout} is reversed: {reason}"
    /// One attempt of a generation failed.
    401 Warn AttemptFailed { request, target, error } "request {request}: the attempt at {target} failed: {error}"
    /// A generation failed and the caller received an error.
    402 Warn GenerationFailed { request, error } "request {request}: the generation failed: {error}"
    /// A target is marked as leaving and gets no new work.
    701 Info TargetLeaving { target, source } "target {target} is leaving according to {source}: it gets no new work"
    /// A target is no longer marked as leaving.
    702 Info TargetBack { target } "target {target} accepts work again"
}

impl Event<'_> {
    /// Writes the event to the log.
    pub fn log(&self) {
        metric::count_event(self.number());
        log::log!(target: "hawthornpost", self.level(), event = self.number(); "{self}");
    }
}

impl fmt::Debug for Event<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Event({}: {self})", self.number())
    }
}
