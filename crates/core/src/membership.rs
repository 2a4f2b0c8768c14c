//! Membership of entry hosts: probes, suspicion and incarnation numbers.
