//! Helpers shared by the tests and examples of the choice.

#![allow(dead_code, unreachable_pub)]

use std::net::SocketAddr;
use std::sync::Arc;

use oleander_balance::{BackendEntry, BackendKey, BackendPhase, IdleConnections};

/// The idle connections of a gateway that has none.
#[derive(Debug)]
pub struct NoIdleConnections;

impl IdleConnections for NoIdleConnections {
    fn has_idle(&self, _: BackendKey) -> bool {
        false
    }
}

/// Returns the registry entry of a backend server that takes requests.
pub fn entry(id: &str, service: &str, slots: u32) -> BackendEntry {
    BackendEntry {
        id: Arc::from(id),
        started_ms: 1,
        service: Arc::from(service),
        address: SocketAddr::from(([10, 0, 0, 1], 8_080)),
        centre: Arc::from("north"),
        slots,
        software: Arc::from("v1"),
        phase: BackendPhase::Serving,
    }
}
