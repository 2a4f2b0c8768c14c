//! An order for a data centre.

/// The number of targets that a service is to have in a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: String,
    /// The data centre.
    pub data_centre: String,
    /// The number of targets.
    pub targets: u32,
}
