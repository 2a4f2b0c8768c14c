//! Choice of the target for a request.
