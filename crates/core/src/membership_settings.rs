//! Times and bounds of the membership protocol.

use std::time::Duration;

/// A day; later, a host that died does not come back under its name.
const FORGET_AFTER: Duration = Duration::from_secs(24 * 60 * 60);

/// Times and bounds of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The time between two probes.
    pub period: Duration,
    /// How long a direct probe waits before members are asked to probe indirectly.
    pub probe_limit: Duration,
    /// The number of members that probe indirectly.
    pub relays: usize,
    /// Suspicion lasts this many periods per decimal digit of the number of members.
    pub suspicion_factor: u32,
    /// The most bytes of updates in one message.
    pub update_bytes: usize,
    /// An update is sent this many times per binary digit of the number of members.
    pub repeat_factor: u32,
    /// Every so many periods a dead member or seed is probed, so that parted regions meet again.
    pub dead_probe_every: u64,
    /// Whole views are exchanged at most this often; one takes 80 KB each way at 390 members, and when regions meet
    /// again every message would ask for one.
    pub sync_every: Duration,
    /// How long dead members are remembered.
    pub forget_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(1),
            probe_limit: Duration::from_millis(300),
            relays: 3,
            suspicion_factor: 3,
            update_bytes: 1200,
            repeat_factor: 3,
            dead_probe_every: 5,
            sync_every: Duration::from_secs(10),
            forget_after: FORGET_AFTER,
        }
    }
}
