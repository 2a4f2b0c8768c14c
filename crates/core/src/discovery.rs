//! The entry addresses that callers are told to use.
