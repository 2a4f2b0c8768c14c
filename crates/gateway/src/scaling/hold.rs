//! Why no order is sent.

/// A reason to leave the number of targets as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// This host has held the duty for too short a time.
    Settling,
    /// This host sees too few of the hosts that it knew.
    FewHosts,
    /// The list of targets is older than that of other hosts.
    OldTargets,
    /// The demand was not seen for long enough.
    ShortHistory,
    /// Targets are suspect, refuse work or have lapsed, or were shortly before.
    Troubled,
    /// Targets are leaving.
    Leaving,
    /// Targets were lost shortly before.
    Lost,
    /// A rollout moves the service to another version.
    Rollout,
    /// The number was changed shortly before.
    Changed,
}

impl Hold {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Settling => "this host has just become the holder",
            Self::FewHosts => "this host sees less than half of the hosts",
            Self::OldTargets => "the list of targets is old",
            Self::ShortHistory => "the demand is not known for long enough",
            Self::Troubled => "targets are suspect or refuse work",
            Self::Leaving => "targets are leaving",
            Self::Lost => "targets were lost",
            Self::Rollout => "a rollout is in progress",
            Self::Changed => "the number has just been changed",
        }
    }
}
