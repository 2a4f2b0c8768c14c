//! Timing rules of leases.
