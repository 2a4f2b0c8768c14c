//! Timing and limits of the membership protocol.

use std::time::Duration;

/// One day. A host that has been dead for longer does not return under its name.
const DEAD_MEMBER_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// Timing and limits of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The interval between probes.
    pub period: Duration,
    /// How long a direct probe may take before relays are asked to probe the member.
    pub probe_timeout: Duration,
    /// The number of relays asked for an indirect probe.
    pub relays: usize,
    /// The duration of a suspicion, in periods per decimal digit of the number of members.
    pub suspicion_factor: u32,
    /// The maximum size of the updates in one message, in bytes.
    pub max_update_bytes: usize,
    /// The number of times an update is sent, per binary digit of the number of members.
    pub retransmit_factor: u32,
    /// The number of periods between probes of a dead member or a seed, which reconnect partitioned regions.
    pub dead_probe_periods: u64,
    /// The minimum interval between exchanges of full member lists. One exchange takes 80 KB each way at 390 members,
    /// and without the limit every message would request one when partitioned regions reconnect.
    pub min_sync_interval: Duration,
    /// How long dead members are kept.
    pub dead_member_retention: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            relays: 3,
            suspicion_factor: 3,
            max_update_bytes: 1200,
            retransmit_factor: 3,
            dead_probe_periods: 5,
            min_sync_interval: Duration::from_secs(10),
            dead_member_retention: DEAD_MEMBER_RETENTION,
        }
    }
}
