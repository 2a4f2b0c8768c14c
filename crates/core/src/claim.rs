//! Claims that make an action run at most once.
