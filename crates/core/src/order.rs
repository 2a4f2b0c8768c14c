//! Orders to engines.
