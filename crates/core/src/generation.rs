//! The life of one generation: attempts, silence detection, resume and release.
