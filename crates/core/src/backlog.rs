//! Byte accounting of what is held for slow readers.
