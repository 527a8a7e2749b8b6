//! Pools idle connections to backend servers.

use oleander_balance::{BackendKey, IdleConnections};
use oleander_base::FastMap;
use oleander_base::prelude::*;

use crate::http::HttpConn;

/// How long before the backend server's own idle timeout a connection is dropped.
const IDLE_MARGIN: Span = Span::from_millis(700);

/// How long a connection is kept if the backend server states no idle timeout.
const DEFAULT_IDLE_TIME: Span = Span::from_secs(55);

/// The greatest number of idle connections per backend server.
const MAX_IDLE_PER_BACKEND: usize = 96;

#[derive(Debug)]
struct IdleConn {
    conn: HttpConn,
    expires_at: MonoTime,
}

/// The idle connections, by backend server.
#[derive(Debug, Default)]
pub(crate) struct ConnPool {
    kept: FastMap<BackendKey, Vec<IdleConn>>,
}

impl ConnPool {
    /// Takes a connection that is open and has no unread bytes.
    pub(crate) fn take(&mut self, key: BackendKey, now: MonoTime) -> Option<HttpConn> {
        let kept = self.kept.get_mut(&key)?;
        while let Some(candidate) = kept.pop() {
            if now < candidate.expires_at && candidate.conn.is_idle() {
                return Some(candidate.conn);
            }
        }
        None
    }

    /// Keeps a connection until shortly before the backend server would close it.
    pub(crate) fn put(
        &mut self,
        key: BackendKey,
        conn: HttpConn,
        idle: Option<Span>,
        now: MonoTime,
    ) {
        let idle = idle.map_or(DEFAULT_IDLE_TIME, |idle| idle.saturating_sub(IDLE_MARGIN));
        let kept = self.kept.entry(key).or_default();
        if kept.len() < MAX_IDLE_PER_BACKEND && idle > Span::ZERO {
            kept.push(IdleConn {
                conn,
                expires_at: now + idle,
            });
        }
    }

    /// Closes the connections that have been idle for too long.
    pub(crate) fn prune(&mut self, now: MonoTime) {
        self.kept.retain(|_, kept| {
            kept.retain(|candidate| now < candidate.expires_at);
            !kept.is_empty()
        });
    }

    /// Closes the connections to one backend server.
    pub(crate) fn discard(&mut self, key: BackendKey) {
        self.kept.remove(&key);
    }

    /// Closes every connection.
    pub(crate) fn clear(&mut self) {
        self.kept.clear();
    }

    /// Returns the number of idle connections.
    pub(crate) fn len(&self) -> usize {
        self.kept.values().map(Vec::len).sum()
    }
}

impl IdleConnections for ConnPool {
    fn has_idle(&self, key: BackendKey) -> bool {
        self.kept.get(&key).is_some_and(|kept| !kept.is_empty())
    }
}
