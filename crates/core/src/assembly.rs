//! Assembly of one answer from the frames of several attempts.
