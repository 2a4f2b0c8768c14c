//! Compact storage of the tokens of one generation.
