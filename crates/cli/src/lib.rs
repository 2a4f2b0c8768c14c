//! Command line of hawthornpost for operators.
