//! Stand-ins for the systems that hawthornpost talks to; for tests only.
