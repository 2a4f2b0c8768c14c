//! Resume handles that callers keep.
