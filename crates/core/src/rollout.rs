//! Moves of traffic between versions: evidence, allowed share and verdicts.
