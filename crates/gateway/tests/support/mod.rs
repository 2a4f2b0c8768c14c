//! Engines for the load balancing tests.
#![allow(dead_code, reason = "each test file uses only a part of this module")]

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use hawthornpost_gateway::fleet::{Criteria, Need};
use hawthornpost_gateway::target::Target;
use hawthornpost_gateway::versions::Versions;

/// Accepts any engine of the service.
pub const POOL: Criteria<'_> = Criteria {
    service: "pool",
    versions: &Versions::Any,
    excluded: &[],
};
/// A stream with a prompt that takes a second.
pub const NEED: Need = Need {
    prompt_tokens: 8000,
    memory_tokens: 9400,
    capacity: 88_000,
};

/// Returns an engine with six slots.
pub fn engine(id: &str, data_centre: &str, port: u16) -> Target {
    Target {
        id: id.to_owned(),
        service: "pool".to_owned(),
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port),
        data_centre: data_centre.to_owned(),
        version: "v1".to_owned(),
        slots: 6,
        is_leaving: false,
        started: Some(1),
    }
}
