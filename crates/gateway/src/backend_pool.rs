//! Kept connections to backend servers.

use oleander_balance::{BackendKey, IdleConnections};
use oleander_base::FastMap;
use oleander_base::prelude::*;

use crate::http::HttpConn;

/// How long before the other side's own limit a connection is given up.
const IDLE_MARGIN: Span = Span::from_millis(700);

/// How long a connection is kept where the other side states no limit.
const IDLE_DEFAULT: Span = Span::from_secs(55);

/// The most connections that are kept to one backend server.
const KEPT_LIMIT: usize = 96;

#[derive(Debug)]
struct KeptConn {
    conn: HttpConn,
    until: MonoTime,
}

/// The kept connections, by backend server.
#[derive(Debug, Default)]
pub(crate) struct BackendPool {
    kept: FastMap<BackendKey, Vec<KeptConn>>,
}

impl BackendPool {
    /// Takes a connection that is open and has nothing left in it.
    pub(crate) fn take(&mut self, key: BackendKey, now: MonoTime) -> Option<HttpConn> {
        let kept = self.kept.get_mut(&key)?;
        while let Some(candidate) = kept.pop() {
            if now < candidate.until && candidate.conn.is_clean() {
                return Some(candidate.conn);
            }
        }
        None
    }

    /// Keeps a connection for as long as the other side keeps it.
    pub(crate) fn put(
        &mut self,
        key: BackendKey,
        conn: HttpConn,
        idle: Option<Span>,
        now: MonoTime,
    ) {
        let idle = idle.map_or(IDLE_DEFAULT, |idle| idle.saturating_sub(IDLE_MARGIN));
        let kept = self.kept.entry(key).or_default();
        if kept.len() < KEPT_LIMIT && idle > Span::ZERO {
            kept.push(KeptConn {
                conn,
                until: now + idle,
            });
        }
    }

    /// Closes what has been kept too long.
    pub(crate) fn prune(&mut self, now: MonoTime) {
        self.kept.retain(|_, kept| {
            kept.retain(|candidate| now < candidate.until);
            !kept.is_empty()
        });
    }

    /// Closes the connections to one backend server.
    pub(crate) fn forget(&mut self, key: BackendKey) {
        self.kept.remove(&key);
    }

    /// Closes every connection.
    pub(crate) fn clear(&mut self) {
        self.kept.clear();
    }

    /// Returns how many connections are kept.
    pub(crate) fn len(&self) -> usize {
        self.kept.values().map(Vec::len).sum()
    }
}

impl IdleConnections for BackendPool {
    fn has_idle(&self, key: BackendKey) -> bool {
        self.kept.get(&key).is_some_and(|kept| !kept.is_empty())
    }
}
