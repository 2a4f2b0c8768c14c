//! Helpers for durations.

use std::time::Duration;

/// Converts to whole milliseconds, the unit of log fields and datagrams; saturates.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the shorter of a duration and an optional one.
pub(crate) fn shorter(limit: Duration, other: Option<Duration>) -> Duration {
    other.map_or(limit, |other| limit.min(other))
}

/// Multiplies a duration by the number of hosts; saturates.
pub(crate) fn scale_by_hosts(each: Duration, hosts: usize) -> Duration {
    each.saturating_mul(u32::try_from(hosts).unwrap_or(u32::MAX))
}
