//! What a process holds for each of its clients' connections, and which connection gives way, that is, is
//! closed, when memory or the number of connections reaches its limit.
//!
//! Memory: a connection that holds at most [`QUIET_BYTES`] is quiet and never gives way to another one's
//! need for memory. Of the others, the one with the greatest product of bytes and time in its phase gives
//! way first: it holds much and has made no progress for long. Connections whose request still arrives are
//! closed before those whose answer is not taken, because their request has not run. A request that runs
//! keeps what it holds. Quiet connections have a reserve of memory that the others cannot use up.
//!
//! Places: when all are taken, a new connection takes the place of one that has brought no whole request
//! yet, or else of one whose request arrives slowly, or else of one whose answer is taken slowly, or else of
//! one that is idle; among equals, of the one that has been so the longest. A connection whose request runs
//! keeps its place (docs/design/client-limits.md).

use oleander_base::FastMap;
use oleander_base::prelude::*;

/// The greatest number of bytes that a quiet connection holds. Most requests are shorter.
pub const QUIET_BYTES: usize = 64 * 1024;

/// The divisor of the memory limit that gives the reserve, which is added to the limit for quiet connections.
const RESERVE_DIVISOR: usize = 8;

/// How long a connection has for its first request before another one may take its place. A sound client sends
/// it with the connection, or a round trip later.
pub const FRESH_TIME: Span = Span::from_millis(20);

/// Identifies a connection in its ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClientId(u64);

/// The activity of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientPhase {
    /// It has brought no whole request yet.
    Fresh,
    /// A request arrives, after earlier ones or with its body.
    Receiving,
    /// A request is served.
    Running,
    /// An answer is written that the client does not take at once.
    Delivering,
    /// It waits for the next request.
    Idle,
}

/// The limits of a ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// The memory for all connections together, in bytes.
    pub bytes: usize,
    /// The number of connections.
    pub connections: usize,
    /// The memory that each connection takes besides what it holds, in bytes.
    pub connection_bytes: usize,
}

/// A connection that has to give way, with the inputs of the decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientVictim {
    /// The connection.
    pub id: ClientId,
    /// Its last activity.
    pub phase: ClientPhase,
    /// How long it had done that.
    pub age: Span,
    /// The bytes that it held.
    pub bytes: usize,
}

/// The reply to a new connection.
#[derive(Debug, PartialEq, Eq)]
pub enum PlaceGrant {
    /// It has a place. If all were taken, the given other connection has to be closed for it.
    Granted(ClientId, Option<ClientVictim>),
    /// A connection that has only just come can give way after this time, unless it brings a request.
    Later(Span),
    /// No connection can give way.
    Full,
}

/// The reply to a connection that asks for memory.
#[derive(Debug, PartialEq, Eq)]
pub struct RoomGrant {
    /// Whether the connection may hold what it asked for; if not, it has to be closed itself.
    pub is_granted: bool,
    /// The other connections, which have to be closed.
    pub victims: Vec<ClientVictim>,
}

#[derive(Debug)]
struct ClientRecord {
    phase: ClientPhase,
    since: MonoTime,
    bytes: usize,
}

impl ClientRecord {
    fn victim(&self, id: ClientId, now: MonoTime) -> ClientVictim {
        ClientVictim {
            id,
            phase: self.phase,
            age: now.since(self.since),
            bytes: self.bytes,
        }
    }

    /// Returns the order in which connections give way to a need for memory; the greatest goes first.
    fn memory_rank(&self, now: MonoTime) -> Option<(u8, u128)> {
        if self.bytes <= QUIET_BYTES {
            return None;
        }
        let kind = match self.phase {
            ClientPhase::Running => return None,
            ClientPhase::Delivering => 0,
            ClientPhase::Fresh | ClientPhase::Receiving | ClientPhase::Idle => 1,
        };
        let age = u128::from(now.since(self.since).0) + 1;
        Some((kind, self.bytes as u128 * age))
    }

    /// Returns the order in which connections give up their places; the greatest goes first. An idle one gives
    /// its place up only if no fresh one can do so soon.
    fn place_rank(&self, now: MonoTime) -> Option<(u8, Span)> {
        let age = now.since(self.since);
        let kind = match self.phase {
            ClientPhase::Running => return None,
            ClientPhase::Idle => 0,
            ClientPhase::Fresh if age < FRESH_TIME => 1,
            ClientPhase::Delivering => 2,
            ClientPhase::Receiving => 3,
            ClientPhase::Fresh => 4,
        };
        Some((kind, age))
    }
}

/// The memory and the places that a process holds for its clients' connections.
#[derive(Debug, Default)]
pub struct ClientLedger {
    records: FastMap<ClientId, ClientRecord>,
    held: usize,
    next: u64,
}

impl ClientLedger {
    /// Adds a connection, in place of another one if all places are taken.
    pub fn open(&mut self, limits: &ClientLimits, now: MonoTime) -> PlaceGrant {
        let is_full = self.records.len() >= limits.connections;
        let victim = match is_full {
            true => self.first_by(|record| record.place_rank(now), now),
            false => None,
        };
        match &victim {
            None if is_full => return PlaceGrant::Full,
            Some(victim) if victim.phase == ClientPhase::Fresh && victim.age < FRESH_TIME => {
                return PlaceGrant::Later(FRESH_TIME.saturating_sub(victim.age));
            }
            Some(victim) => self.close(victim.id),
            None => {}
        }
        let id = ClientId(self.next);
        self.next += 1;
        let record = ClientRecord {
            phase: ClientPhase::Fresh,
            since: now,
            bytes: 0,
        };
        self.records.insert(id, record);
        PlaceGrant::Granted(id, victim)
    }

    /// Records what a connection does from now on.
    pub fn enter(&mut self, id: ClientId, phase: ClientPhase, now: MonoTime) {
        if let Some(record) = self.records.get_mut(&id) {
            record.phase = phase;
            record.since = now;
        }
    }

    /// Changes what a connection holds; `others` is what the process holds for anything else, in bytes.
    pub fn resize(
        &mut self,
        id: ClientId,
        bytes: usize,
        others: usize,
        limits: &ClientLimits,
        now: MonoTime,
    ) -> RoomGrant {
        let mut grant = RoomGrant {
            is_granted: false,
            victims: Vec::new(),
        };
        // A connection that has given way may not have noticed it yet.
        let Some(record) = self.records.get(&id) else {
            return grant;
        };
        let previous = record.bytes;
        self.set_bytes(id, bytes);
        while bytes > previous && self.total(limits) + others > limit_of(bytes, limits) {
            let victim = self.first_by(|record| record.memory_rank(now), now);
            let Some(victim) = victim.filter(|victim| victim.id != id) else {
                self.set_bytes(id, previous);
                return grant;
            };
            self.close(victim.id);
            grant.victims.push(victim);
        }
        grant.is_granted = true;
        grant
    }

    /// Removes a connection.
    pub fn close(&mut self, id: ClientId) {
        if let Some(record) = self.records.remove(&id) {
            self.held -= record.bytes;
        }
    }

    /// Returns the bytes that all connections hold.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn total(&self, limits: &ClientLimits) -> usize {
        self.held + self.records.len() * limits.connection_bytes
    }

    fn set_bytes(&mut self, id: ClientId, bytes: usize) {
        if let Some(record) = self.records.get_mut(&id) {
            self.held = self.held - record.bytes + bytes;
            record.bytes = bytes;
        }
    }

    /// Returns the connection with the greatest rank, the newest of equal ones.
    fn first_by<R: Ord>(
        &self,
        rank: impl Fn(&ClientRecord) -> Option<R>,
        now: MonoTime,
    ) -> Option<ClientVictim> {
        let ranked = self
            .records
            .iter()
            .filter_map(|(id, record)| Some((rank(record)?, id.0, record)));
        let (_, id, record) =
            ranked.max_by(|one, other| (&one.0, one.1).cmp(&(&other.0, other.1)))?;
        Some(record.victim(ClientId(id), now))
    }
}

/// Returns the limit that applies to a connection which holds this many bytes.
fn limit_of(bytes: usize, limits: &ClientLimits) -> usize {
    match bytes <= QUIET_BYTES {
        true => limits.bytes.saturating_add(limits.bytes / RESERVE_DIVISOR),
        false => limits.bytes,
    }
}
