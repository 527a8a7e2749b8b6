//! A table of the registry's backend servers, indexed by id and by service.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use oleander_base::prelude::*;
use oleander_base::{FastMap, FastSet};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::PartId;
use crate::backend_state::BackendState;
use crate::home::{HomeSet, RankCache};
use crate::rate_limit::GatewayRank;
use crate::rejection_limit::Brittleness;
use crate::reserve::ReservedSet;
use crate::stream_origin::VersionId;

/// The reference of one incarnation of a backend server; it is never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BackendKey(pub u32);

impl fmt::Display for BackendKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "backend{}", self.0)
    }
}

/// Whether a backend server takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendPhase {
    /// It takes new requests.
    Serving,
    /// It is about to leave and takes no new requests.
    Draining,
}

/// The registry entry of a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendEntry {
    /// Its id.
    pub id: Arc<str>,
    /// Its start time, in milliseconds since the Unix epoch; each start is a new incarnation.
    pub started_ms: u64,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: Arc<str>,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// The version of its software; versions have no order.
    pub software: Arc<str>,
    /// Whether it takes new requests.
    pub phase: BackendPhase,
    /// Whether its operator may take it away at short notice, for which it costs less.
    pub is_preemptible: bool,
}

impl BackendEntry {
    /// Returns the start time of its process, in milliseconds since the Unix epoch by its own clock; `None` if the
    /// backend server names none.
    pub fn start(&self) -> Option<u64> {
        Some(self.started_ms).filter(|started_ms| *started_ms > 0)
    }

    /// Keeps the known start time of its process if this entry does not name one. That it is missing tells nothing: the
    /// same process may have written the entry, and another one tells another start time when it is asked.
    fn keep_start(&mut self, known: &Self) {
        let without_start = Self {
            started_ms: self.started_ms,
            ..known.clone()
        };
        if self.start().is_none() && self.is_same_process(&without_start) {
            self.started_ms = known.started_ms;
        }
    }

    /// Returns whether both entries are of one incarnation of a backend server.
    pub fn is_same_process(&self, other: &Self) -> bool {
        self.id == other.id
            && self.started_ms == other.started_ms
            && self.address == other.address
            && self.service == other.service
            && self.software == other.software
    }
}

/// A backend server with its registry entry and this gateway's state for it.
#[derive(Debug)]
pub struct FleetMember {
    /// Its registry entry.
    pub entry: BackendEntry,
    /// Its load and health as known to this gateway.
    pub state: BackendState,
    /// The hash of its id, for the ranking of homes.
    pub id_hash: u64,
    /// The hash of its id and its start. A backend server that starts again under its id is another incarnation.
    pub incarnation: u64,
    /// The version of its software.
    pub version: VersionId,
    /// When its entry lapsed while the key-value store was unavailable, if it did; the backend
    /// server is then used only if no other is left.
    pub lapsed_at: Option<MonoTime>,
}

/// The time within which two backend servers of a data centre must become unreachable for a network
/// partition to be suspected.
const PARTITION_WINDOW: Span = Span::from_millis(1_500);

/// The table of all backend servers.
#[derive(Debug, Default)]
pub struct FleetTable {
    members: FastMap<BackendKey, FleetMember>,
    by_id: FastMap<Arc<str>, BackendKey>,
    by_service: FastMap<Arc<str>, ServiceIndex>,
    by_hash: FastMap<u64, BackendKey>,
    unreachable: FastMap<Arc<str>, LastUnreachable>,
    next_key: u32,
}

/// The backend servers of one service, with the homes and reservations computed from their ids.
#[derive(Debug, Default)]
struct ServiceIndex {
    keys: Vec<BackendKey>,
    ranks: RankCache,
    reserved: ReservedSet,
    reserved_count: usize,
    /// The rejections in a second that its backend servers survive, by the last one that said so.
    threshold: Option<u32>,
    /// When the answer came that says so.
    brittleness_at: MonoTime,
    /// The software versions of which a process has told its start time. One of them that replies without it counts as
    /// refusing for a moment.
    telling: FastSet<VersionId>,
    /// How many entries have gone at whose addresses a process was known that no entry described.
    unregistered_gone: u64,
}

impl ServiceIndex {
    /// Drops what was computed from an earlier state of the registry.
    fn invalidate(&mut self) {
        self.ranks = RankCache::default();
        self.reserved = ReservedSet::default();
        self.reserved_count = 0;
    }
}

impl FleetMember {
    pub(crate) fn is_serving(&self) -> bool {
        self.entry.phase == BackendPhase::Serving
    }
}

/// The last backend server of a data centre that could not be reached, and when.
#[derive(Debug, Clone, Copy)]
struct LastUnreachable {
    key: BackendKey,
    at: MonoTime,
}

/// The effect of a registry change on the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryChange {
    /// A new backend server, or a new incarnation of one.
    Joined(BackendKey),
    /// The backend server stopped taking new requests.
    Draining(BackendKey),
    /// Other fields changed, or the entry had lapsed.
    Updated,
    /// The entry is unchanged.
    Same,
}

impl FleetTable {
    /// Inserts or updates the registry entry of one backend server.
    pub fn upsert(&mut self, mut entry: BackendEntry) -> EntryChange {
        let Some(&key) = self.by_id.get(&entry.id) else {
            return EntryChange::Joined(self.insert(entry));
        };
        let member = self.members.get_mut(&key).expect("ids name members");
        let old = &member.entry;
        entry.keep_start(old);
        if !old.is_same_process(&entry) {
            self.remove_key(key);
            return EntryChange::Joined(self.insert(entry));
        }
        let was_lapsed = member.lapsed_at.take().is_some();
        if member.entry == entry {
            return if was_lapsed {
                EntryChange::Updated
            } else {
                EntryChange::Same
            };
        }
        let starts_draining = entry.phase == BackendPhase::Draining && old.phase != entry.phase;
        member.state.slots = entry.slots;
        member.entry = entry;
        self.invalidate_service(key);
        if starts_draining {
            EntryChange::Draining(key)
        } else {
            EntryChange::Updated
        }
    }

    /// Marks a backend server whose entry lapsed while the key-value store was unavailable.
    pub fn mark_lapsed(&mut self, id: &str, now: MonoTime) -> Option<BackendKey> {
        let key = *self.by_id.get(id)?;
        let member = self.members.get_mut(&key)?;
        member.lapsed_at.get_or_insert(now);
        Some(key)
    }

    /// Removes a backend server.
    pub fn remove(&mut self, id: &str) -> Option<BackendKey> {
        let key = *self.by_id.get(id)?;
        self.drop_entry(key);
        Some(key)
    }

    /// Removes the backend servers that have been marked as lapsed for `ttl` or longer.
    pub fn expire_lapsed(&mut self, ttl: Span, now: MonoTime) -> Vec<BackendKey> {
        let is_expired = |member: &FleetMember| {
            member
                .lapsed_at
                .is_some_and(|lapsed| now.since(lapsed) >= ttl)
        };
        let expired: Vec<BackendKey> = self
            .members
            .iter()
            .filter(|(_, member)| is_expired(member))
            .map(|(key, _)| *key)
            .collect();
        for key in &expired {
            self.drop_entry(*key);
        }
        expired
    }

    /// Returns the reference of the backend server with this id.
    pub fn key_of(&self, id: &str) -> Option<BackendKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the reference of the backend server whose id has this hash.
    pub fn key_of_hash(&self, id_hash: u64) -> Option<BackendKey> {
        self.by_hash.get(&id_hash).copied()
    }

    /// Returns the backend server whose id has this hash.
    pub fn by_hash_mut(&mut self, id_hash: u64) -> Option<&mut FleetMember> {
        let key = self.by_hash.get(&id_hash)?;
        self.members.get_mut(key)
    }

    /// Returns the backend server with this reference.
    pub fn get(&self, key: BackendKey) -> Option<&FleetMember> {
        self.members.get(&key)
    }

    /// Returns a mutable reference to the backend server with this reference.
    pub fn get_mut(&mut self, key: BackendKey) -> Option<&mut FleetMember> {
        self.members.get_mut(&key)
    }

    /// Divides the limits that backend servers have named; `place` tells this gateway's place by the
    /// hash of a backend server's id.
    pub fn divide_limits(&mut self, place: impl Fn(u64) -> GatewayRank, now: MonoTime) {
        for member in self.members.values_mut() {
            if member.state.rate_limit.per_s().is_some() {
                member.state.rate_limit.divide(place(member.id_hash), now);
            }
        }
    }

    /// Takes over what a backend server said at a time about the rejections that it survives; returns whether
    /// that is a change. Those of its service that have said nothing yet survive as many.
    pub fn name_brittleness(
        &mut self,
        key: BackendKey,
        brittleness: Brittleness,
        at: MonoTime,
    ) -> bool {
        let Some(member) = self.members.get_mut(&key) else {
            return false;
        };
        let is_change = member.state.rejection_limit.name(brittleness, at);
        let service = Arc::clone(&member.entry.service);
        let index = self.by_service.get_mut(&service).expect("members have one");
        if brittleness == Brittleness::Unknown || at < index.brittleness_at {
            return is_change;
        }
        index.brittleness_at = at;
        let threshold = brittleness.threshold();
        if std::mem::replace(&mut index.threshold, threshold) != threshold {
            for key in &index.keys {
                if let Some(member) = self.members.get_mut(key) {
                    member.state.rejection_limit.inherit(threshold);
                }
            }
        }
        is_change
    }

    /// Notes that the process of a backend server told its start time when it was asked at a time.
    pub fn note_start_told(&mut self, key: BackendKey, asked_at: MonoTime) {
        let Some(member) = self.members.get_mut(&key) else {
            return;
        };
        member.state.process.on_told(asked_at);
        let index = self.by_service.get_mut(&member.entry.service);
        let index = index.expect("members have one");
        let version = member.version;
        if !index.telling.insert(version) {
            return;
        }
        for key in &index.keys {
            let member = self.members.get_mut(key);
            if let Some(member) = member.filter(|member| member.version == version) {
                member.state.process.forget_untold();
            }
        }
    }

    /// Notes that a backend server replied without the start time of its process; returns whether it counts as one that
    /// never tells it. One whose entry has gone does not: another process may have replied.
    pub fn note_start_untold(&mut self, key: BackendKey) -> bool {
        let Some(member) = self.members.get_mut(&key) else {
            return false;
        };
        let index = self.by_service.get(&member.entry.service);
        let tells = index.is_some_and(|index| index.telling.contains(&member.version));
        !tells && member.state.process.on_untold()
    }

    /// Notes that a backend server took a query for a request.
    pub fn note_query_misread(&mut self, key: BackendKey) {
        let Some(member) = self.members.get_mut(&key) else {
            return;
        };
        let index = self.by_service.get(&member.entry.service);
        if !index.is_some_and(|index| index.telling.contains(&member.version)) {
            member.state.process.on_misread();
        }
    }

    /// Returns when the first of a service's backend servers that back off or are at their limits takes
    /// requests again.
    pub fn first_opening(&self, service: &str, now: MonoTime) -> Option<MonoTime> {
        let members = self.service_keys(service).iter();
        members
            .filter_map(|key| self.members.get(key)?.state.opens_at(now))
            .min()
    }

    /// Returns the references of a service's backend servers.
    pub fn service_keys(&self, service: &str) -> &[BackendKey] {
        self.by_service
            .get(service)
            .map_or(&[], |index| &index.keys)
    }

    /// Returns the ids of all backend servers in the table.
    pub fn ids(&self) -> Vec<Arc<str>> {
        self.by_id.keys().cloned().collect()
    }

    /// Returns all backend servers with their references.
    pub fn members(&self) -> impl Iterator<Item = (BackendKey, &FleetMember)> {
        self.members.iter().map(|(key, member)| (*key, member))
    }

    /// Ejects a backend server to which no connection can be made; returns those that were ejected.
    ///
    /// Two such backend servers in one data centre within `PARTITION_WINDOW` suggest a network
    /// partition. All others there are then ejected too, before each of them delays callers with
    /// its own failures. A gateway is assumed never to be partitioned from its own data centre.
    pub fn mark_unreachable(
        &mut self,
        key: BackendKey,
        own_centre: &str,
        now: MonoTime,
    ) -> Vec<BackendKey> {
        let Some(member) = self.members.get_mut(&key) else {
            return Vec::new();
        };
        member.state.eject(now);
        member.state.mark_down(now);
        let centre = Arc::clone(&member.entry.centre);
        let mut ejected = vec![key];
        if &*centre == own_centre {
            return ejected;
        }
        let mark = LastUnreachable { key, at: now };
        let last = self.unreachable.insert(Arc::clone(&centre), mark);
        if !last.is_some_and(|last| last.key != key && now.since(last.at) < PARTITION_WINDOW) {
            return ejected;
        }
        for (other, member) in &mut self.members {
            let is_suspect = *other != key && member.entry.centre == centre;
            if is_suspect && member.state.is_open(now) {
                member.state.eject(now);
                ejected.push(*other);
            }
        }
        ejected
    }

    /// Returns whether a process of another software version is registered at the address of an earlier one with the
    /// same id.
    pub fn is_superseded(&self, id: &str, address: SocketAddr, version: VersionId) -> bool {
        let key = self.by_id.get(id);
        let member = key.and_then(|key| self.members.get(key));
        member.is_some_and(|member| member.entry.address == address && member.version != version)
    }

    /// Returns whether a process is known at the address of one of a service's backend servers that no entry describes,
    /// so that its software version is not known.
    pub fn has_unregistered_process(&self, service: &str) -> bool {
        let members = self.service_keys(service).iter();
        members
            .filter_map(|key| self.members.get(key))
            .any(|member| member.state.process.is_replaced())
    }

    /// Returns, for each service, how many entries have gone at whose addresses such a process was known.
    pub fn unregistered_gone(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        let services = self.by_service.iter();
        services.map(|(service, index)| (service, index.unregistered_gone))
    }

    /// Notes that each entry, unless it lapsed, is of a process that still ran at a time.
    pub fn confirm_processes(&mut self, ran_at: MonoTime) {
        let members = self.members.values_mut();
        for member in members.filter(|member| member.lapsed_at.is_none()) {
            member.state.process.confirm(ran_at);
        }
    }

    /// Forgets the failures of all backend servers.
    pub fn reopen_all(&mut self) {
        for member in self.members.values_mut() {
            member.state.reopen();
        }
    }

    /// Ejects a backend server whose address another process has taken, so that it must be down.
    pub fn mark_replaced(&mut self, key: BackendKey, now: MonoTime) {
        if let Some(member) = self.members.get_mut(&key) {
            member.state.process.mark_replaced(now);
            member.state.eject(now);
            member.state.mark_down(now);
        }
    }

    /// Returns the homes of a part among a service's unreserved backend servers that take new
    /// requests.
    ///
    /// The first `home_count` ranks are homes of equal standing; a part that much of the traffic
    /// shares has several.
    pub fn homes(&mut self, service: &str, part: PartId, home_count: usize) -> HomeSet {
        let Some(index) = self.by_service.get_mut(service) else {
            return HomeSet::default();
        };
        let reserved = &index.reserved;
        let serving = serving(&self.members, &index.keys);
        let unreserved = serving.filter(|(key, _)| !reserved.contains(*key));
        index.ranks.homes(part, home_count, unreserved)
    }

    /// Reserves `count` of a service's backend servers for short prompts and returns them.
    pub(crate) fn reserve_short(&mut self, service: &str, count: usize) -> ReservedSet {
        let Some(index) = self.by_service.get_mut(service) else {
            return ReservedSet::default();
        };
        if index.reserved_count != count {
            index.invalidate();
            index.reserved = ReservedSet::select(serving(&self.members, &index.keys), count);
            index.reserved_count = count;
        }
        index.reserved.clone()
    }

    /// Returns whether a backend server is reserved for short prompts.
    pub fn is_reserved(&self, service: &str, key: BackendKey) -> bool {
        let index = self.by_service.get(service);
        index.is_some_and(|index| index.reserved.contains(key))
    }

    fn invalidate_service(&mut self, key: BackendKey) {
        let service = self.members.get(&key).map(|member| &member.entry.service);
        if let Some(index) = service.and_then(|service| self.by_service.get_mut(service)) {
            index.invalidate();
        }
    }

    fn insert(&mut self, entry: BackendEntry) -> BackendKey {
        let key = BackendKey(self.next_key);
        self.next_key += 1;
        self.by_id.insert(Arc::clone(&entry.id), key);
        let index = self
            .by_service
            .entry(Arc::clone(&entry.service))
            .or_default();
        index.keys.push(key);
        index.invalidate();
        let mut state = BackendState::open(entry.slots);
        state.rejection_limit.inherit(index.threshold);
        let id_hash = xxh3_64(entry.id.as_bytes());
        let incarnation = xxh3_64_with_seed(entry.id.as_bytes(), entry.started_ms);
        self.by_hash.insert(id_hash, key);
        self.members.insert(
            key,
            FleetMember {
                version: VersionId::of(&entry.software),
                state,
                entry,
                id_hash,
                incarnation,
                lapsed_at: None,
            },
        );
        key
    }

    /// Removes a backend server whose entry has gone.
    fn drop_entry(&mut self, key: BackendKey) {
        let member = self.members.get(&key);
        if let Some(member) = member.filter(|member| member.state.process.is_replaced())
            && let Some(index) = self.by_service.get_mut(&member.entry.service)
        {
            index.unregistered_gone += 1;
        }
        self.remove_key(key);
    }

    fn remove_key(&mut self, key: BackendKey) {
        let Some(member) = self.members.remove(&key) else {
            return;
        };
        self.by_id.remove(&member.entry.id);
        self.by_hash.remove(&member.id_hash);
        if let Some(index) = self.by_service.get_mut(&member.entry.service) {
            index.keys.retain(|other| *other != key);
            index.invalidate();
        }
    }
}

/// Returns the backend servers that take new requests, each with the hash of its id.
fn serving(
    members: &FastMap<BackendKey, FleetMember>,
    keys: &[BackendKey],
) -> impl Iterator<Item = (BackendKey, u64)> {
    keys.iter().filter_map(|key| {
        let member = members.get(key)?;
        member.is_serving().then_some((*key, member.id_hash))
    })
}
