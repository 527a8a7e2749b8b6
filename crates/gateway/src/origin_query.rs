//! Collects the replies of a stream's replicas to one query, and decides when the query ends.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

use oleander_balance::{VersionId, VersionSpan};
use oleander_base::FastSet;
use tokio::sync::Notify;

/// How many times a query is sent to a replica that does not reply.
const QUERY_SENDS: u32 = 3;

/// How many times a query is sent while no replica has replied. Replicas that stand still for a moment reply later, and
/// meanwhile the registry has the time to name a process that began the stream.
const SILENT_SENDS: u32 = 20;

/// The replies of a stream's replicas to one query.
#[derive(Debug, Default)]
pub(crate) struct OpenQuery {
    /// The replicas that have replied.
    pub(crate) replied: RefCell<FastSet<SocketAddr>>,
    /// The origin, by all replies that name one.
    pub(crate) origin: Cell<Option<VersionId>>,
    pub(crate) versions: RefCell<Vec<VersionSpan>>,
    pub(crate) changed: Notify,
}

impl OpenQuery {
    /// Takes over the origin that a replica knows.
    pub(crate) fn add_origin(&self, version: VersionId) {
        let known = self.origin.get();
        let joined = known.map_or(version, |known| known.joined_with(version));
        self.origin.set(Some(joined));
    }

    /// Returns whether no further reply can change the origin.
    pub(crate) fn is_decided(&self, replicas: &[SocketAddr]) -> bool {
        let is_uncertain = self.origin.get() == Some(VersionId::UNCERTAIN);
        is_uncertain || self.replied.borrow().len() >= replicas.len()
    }

    /// Returns whether the query ends after it was sent a number of times, although a replica has not replied.
    pub(crate) fn is_over(&self, sends: u32) -> bool {
        if self.origin.get().is_some() {
            return true;
        }
        match self.replied.borrow().is_empty() {
            true => sends >= SILENT_SENDS,
            false => sends >= QUERY_SENDS,
        }
    }
}
