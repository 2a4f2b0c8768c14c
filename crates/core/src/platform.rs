//! Objects and call budget of the platform API.
