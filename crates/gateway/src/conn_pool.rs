//! Pools idle connections to backend servers.

use oleander_balance::{BackendKey, IdleConnections};
use oleander_base::FastMap;
use oleander_base::prelude::*;

use crate::http::HttpConn;

/// How long before the backend server's own idle timeout a connection is dropped.
const IDLE_MARGIN: Span = Span::from_millis(700);

/// How long a connection is kept if the backend server states no idle timeout.
const DEFAULT_IDLE_TIME: Span = Span::from_secs(55);

/// How long a connection on which no request was sent is kept, if the backend server has stated no idle timeout. Some
/// close connections without a first request soon.
const UNUSED_IDLE_TIME: Span = Span::from_secs(2);

/// The greatest number of idle connections per backend server.
const MAX_IDLE_PER_BACKEND: usize = 96;

/// A connection without a request, and when it is no longer used for one.
#[derive(Debug)]
pub(crate) struct IdleConn {
    pub(crate) conn: HttpConn,
    pub(crate) expires_at: MonoTime,
    /// How many times connections had been discarded when it was taken out of the pool or opened.
    discards: u64,
}

/// The idle connections, by backend server.
#[derive(Debug, Default)]
pub(crate) struct ConnPool {
    idle: FastMap<BackendKey, Vec<IdleConn>>,
    /// The idle times that backend servers last stated.
    stated: FastMap<BackendKey, Span>,
    /// How many times connections were discarded.
    discards: u64,
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
                return Some(IdleConn {
                    discards: self.discards,
                    ..candidate
                });
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
        let span = idle.map_or(DEFAULT_IDLE_TIME, |idle| idle.saturating_sub(IDLE_MARGIN));
        self.keep(key, self.idle_conn(conn, now + span), now);
    }

    /// Takes over a new connection on which no request was sent.
    pub(crate) fn admit(&self, key: BackendKey, conn: HttpConn, now: MonoTime) -> IdleConn {
        let stated = self.stated.get(&key);
        let span = stated.map_or(UNUSED_IDLE_TIME, |idle| idle.saturating_sub(IDLE_MARGIN));
        self.idle_conn(conn, now + span)
    }

    fn idle_conn(&self, conn: HttpConn, expires_at: MonoTime) -> IdleConn {
        IdleConn {
            conn,
            expires_at,
            discards: self.discards,
        }
    }

    /// Keeps an idle connection that was taken out of the pool, or opened. It is closed if connections were discarded
    /// meanwhile, because it may be one of those.
    pub(crate) fn put_back(&mut self, key: BackendKey, idle: IdleConn, now: MonoTime) {
        if idle.discards == self.discards {
            self.keep(key, idle, now);
        }
    }

    fn keep(&mut self, key: BackendKey, idle: IdleConn, now: MonoTime) {
        let conns = self.idle.entry(key).or_default();
        if conns.len() < MAX_IDLE_PER_BACKEND && now < idle.expires_at {
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
        self.discards += 1;
    }

    /// Closes every connection.
    pub(crate) fn clear(&mut self) {
        self.idle.clear();
        self.discards += 1;
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
