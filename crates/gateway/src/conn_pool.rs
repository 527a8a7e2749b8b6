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

/// A connection without a request, and when it is no longer used for one.
#[derive(Debug)]
pub(crate) struct IdleConn {
    pub(crate) conn: HttpConn,
    pub(crate) expires_at: MonoTime,
}

impl IdleConn {
    /// Takes over a connection whose backend server closes it after the idle time, if it states one.
    fn open(conn: HttpConn, idle: Option<Span>, now: MonoTime) -> Self {
        let idle = idle.map_or(DEFAULT_IDLE_TIME, |idle| idle.saturating_sub(IDLE_MARGIN));
        Self {
            conn,
            expires_at: now + idle,
        }
    }
}

/// The idle connections, by backend server.
#[derive(Debug, Default)]
pub(crate) struct ConnPool {
    idle: FastMap<BackendKey, Vec<IdleConn>>,
    /// The idle times that backend servers last stated.
    stated: FastMap<BackendKey, Span>,
}

impl ConnPool {
    /// Takes a connection that is open and has no unread bytes.
    pub(crate) fn take(&mut self, key: BackendKey, now: MonoTime) -> Option<HttpConn> {
        self.take_idle(key, now).map(|idle| idle.conn)
    }

    /// Takes a connection that is open and has no unread bytes, with the time until which it is used.
    pub(crate) fn take_idle(&mut self, key: BackendKey, now: MonoTime) -> Option<IdleConn> {
        let conns = self.idle.get_mut(&key)?;
        while let Some(candidate) = conns.pop() {
            if now < candidate.expires_at && candidate.conn.is_idle() {
                return Some(candidate);
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
        if let Some(idle) = idle {
            self.stated.insert(key, idle);
        }
        let idle = IdleConn::open(conn, idle, now);
        if now < idle.expires_at {
            self.put_idle(key, idle);
        }
    }

    /// Takes over a new connection, on which the backend server has not stated its idle time yet.
    pub(crate) fn admit(&self, key: BackendKey, conn: HttpConn, now: MonoTime) -> IdleConn {
        IdleConn::open(conn, self.stated.get(&key).copied(), now)
    }

    /// Keeps an idle connection, unless there are enough of its backend server.
    pub(crate) fn put_idle(&mut self, key: BackendKey, idle: IdleConn) {
        let conns = self.idle.entry(key).or_default();
        if conns.len() < MAX_IDLE_PER_BACKEND {
            conns.push(idle);
        }
    }

    /// Closes the connections that have been idle for too long.
    pub(crate) fn prune(&mut self, now: MonoTime) {
        self.idle.retain(|_, conns| {
            conns.retain(|candidate| now < candidate.expires_at);
            !conns.is_empty()
        });
    }

    /// Closes the connections to one backend server.
    pub(crate) fn discard(&mut self, key: BackendKey) {
        self.idle.remove(&key);
        self.stated.remove(&key);
    }

    /// Closes every connection.
    pub(crate) fn clear(&mut self) {
        self.idle.clear();
    }

    /// Returns the number of idle connections.
    pub(crate) fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }
}

impl IdleConnections for ConnPool {
    fn has_idle(&self, key: BackendKey) -> bool {
        self.idle.get(&key).is_some_and(|conns| !conns.is_empty())
    }
}
