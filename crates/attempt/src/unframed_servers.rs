//! Servers whose connections are not reused, because their answers end with their connection.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oleander_base::FastMap;
use tokio::time::Instant;

/// The servers that have lately answered with neither a length nor chunks.
///
/// The HTTP client takes such an answer for complete with its head and puts its connection back into the pool,
/// where the rest of the answer would be read as the answer to the next request.
#[derive(Debug, Clone)]
pub(crate) struct UnframedServers {
    /// When each server's last such connection has left the pool.
    until: Rc<RefCell<FastMap<SocketAddr, Instant>>>,
    /// The longest time that a connection stays in the pool.
    pool_time: Duration,
}

impl UnframedServers {
    pub(crate) fn new(pool_time: Duration) -> Self {
        Self {
            until: Rc::default(),
            pool_time,
        }
    }

    /// Records an unframed answer of a server.
    pub(crate) fn record(&self, server: SocketAddr, now: Instant) {
        let mut until = self.until.borrow_mut();
        until.retain(|_, until| now < *until);
        until.insert(server, now + self.pool_time);
    }

    /// Returns whether the pool may hold a connection of a server's unframed answer.
    pub(crate) fn contains(&self, server: SocketAddr, now: Instant) -> bool {
        let until = self.until.borrow();
        until.get(&server).is_some_and(|until| now < *until)
    }
}
