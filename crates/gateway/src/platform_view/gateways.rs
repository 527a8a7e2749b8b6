//! The facts about other gateways.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use oleander_balance::{OwnerCandidate, StreamId, TreeMember, fact_sources, slot_owners};
use oleander_base::FastSet;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{ApplyContext, KnownFact, PlatformView, RemovalMode, ViewChange};
use crate::origin_exchange::ReplicaCounts;
use crate::port::{GatewayEntry, StoreItem, StoreSubject};
use crate::prelude::*;
use crate::relay_targets::RelayTarget;
use crate::slots::SlotOwner;

/// How long a gateway that was removed from the store still counts as one of the gateways.
const GONE_GATEWAY_COUNTED: Span = Span::from_secs(15);

/// How long the address of a gateway that was removed from the store is kept.
const GONE_GATEWAY_RETENTION: Span = Span::from_secs(60);

/// How long a gateway that a complete listing lacked may take to announce itself again. It is longer
/// than the lease of its announcement.
const UNLISTED_GATEWAY_RETENTION: Span = Span::from_secs(15);

/// The number of gateways that keep the counts of another one's requests.
const USAGE_REPLICAS: usize = 2;

/// What is known of one gateway.
#[derive(Debug, Clone)]
pub(super) struct GatewayFact {
    version: StoreVersion,
    value: Bytes,
    entry: GatewayEntry,
    gone_at: Option<MonoTime>,
    /// When a complete listing of the store lacked the entry, which its gateway may write again.
    unlisted_at: Option<MonoTime>,
}

/// The key by which the collectors of stream origins are ranked.
const COLLECTOR_KEY: u64 = 1;

/// The number of gateways that collect the origins of streams. The loss of one leaves the other.
const ORIGIN_COLLECTORS: usize = 2;

/// The gateways that collect the origins of streams for the key-value store.
#[derive(Debug)]
pub(crate) struct OriginCollectors {
    /// Whether this gateway is one of them.
    pub(crate) has_own: bool,
    /// The addresses at which the others receive gossip.
    pub(crate) others: Vec<SocketAddr>,
}

impl PlatformView {
    pub(super) fn apply_gateway(
        &mut self,
        name: Arc<str>,
        version: StoreVersion,
        value: Option<Bytes>,
        context: &mut ApplyContext<'_>,
    ) {
        let ApplyContext {
            port, now, update, ..
        } = context;
        let now = *now;
        let known = self.gateways.get_mut(&name);
        if known.as_ref().is_some_and(|fact| fact.version >= version) {
            return;
        }
        let Some(value) = value else {
            if let Some(fact) = known {
                fact.version = version;
                fact.gone_at = Some(now);
                self.changed_at = self.changed_at.max(version);
                update
                    .changes
                    .push(ViewChange::GatewayGone { gateway: name });
            }
            return;
        };
        // An entry that cannot be decoded was written by another version of the gateway. It is
        // neither counted nor queried.
        let Ok(entry) = port.decode_gateway(&value) else {
            return;
        };
        if known.is_none_or(|fact| fact.gone_at.is_some()) {
            update.changes.push(ViewChange::GatewayJoined {
                gateway: Arc::clone(&name),
            });
        }
        self.changed_at = self.changed_at.max(version);
        self.gateways.insert(
            name,
            GatewayFact {
                version,
                value,
                entry,
                gone_at: None,
                unlisted_at: None,
            },
        );
    }

    /// Notes the gateways that are missing from a complete listing.
    pub(super) fn mark_unlisted_gateways(
        &mut self,
        listed: &FastSet<Arc<str>>,
        at: StoreVersion,
        now: MonoTime,
    ) {
        for (name, fact) in &mut self.gateways {
            if !listed.contains(name) && fact.version < at {
                fact.unlisted_at.get_or_insert(now);
            }
        }
    }

    /// Returns how many gateways share the fleet, at least `floor`.
    pub(crate) fn gateway_count(&self, floor: usize, now: MonoTime) -> usize {
        let counts = |fact: &&GatewayFact| {
            fact.gone_at
                .is_none_or(|gone| now.since(gone) < GONE_GATEWAY_COUNTED)
        };
        self.gateways.values().filter(counts).count().max(floor)
    }

    /// Returns the addresses at which other gateways can be queried.
    pub(crate) fn gateway_addresses(&self, own: &str) -> Vec<SocketAddr> {
        self.gateways
            .iter()
            .filter(|(name, _)| &***name != own)
            .map(|(_, fact)| fact.entry.control)
            .collect()
    }

    /// Returns the addresses of the gateways that a gateway queries for facts, in order.
    pub(crate) fn fact_sources(&self, own: TreeMember<'_>) -> Vec<SocketAddr> {
        let live = || {
            self.gateways
                .iter()
                .filter(|(_, fact)| fact.gone_at.is_none())
        };
        let members: Vec<TreeMember<'_>> = live()
            .map(|(name, fact)| TreeMember {
                name,
                centre: &fact.entry.centre,
                capacity: fact.entry.capacity,
            })
            .collect();
        let names = fact_sources(&members, own);
        let facts = names.into_iter().filter_map(|name| self.gateways.get(name));
        facts.map(|fact| fact.entry.control).collect()
    }

    /// Returns the capacities of the live gateways, without this one.
    pub(crate) fn other_capacities(&self, own: &str) -> Vec<u32> {
        self.gateways
            .iter()
            .filter(|(name, fact)| &***name != own && fact.gone_at.is_none())
            .map(|(_, fact)| fact.entry.capacity)
            .collect()
    }

    /// Returns the control addresses of the gateways that may be alive, without this one. These are more than the
    /// store names: after its outage, live gateways are missing there until they have announced themselves again.
    pub(crate) fn counted_controls(&self, own: &str, now: MonoTime) -> Vec<SocketAddr> {
        let is_counted = |fact: &GatewayFact| {
            fact.gone_at
                .is_none_or(|gone| now.since(gone) < GONE_GATEWAY_COUNTED)
        };
        self.gateways
            .iter()
            .filter(|(name, fact)| &***name != own && is_counted(fact))
            .map(|(_, fact)| fact.entry.control)
            .collect()
    }

    /// Returns the gossip addresses of the gateways that keep a gateway's counts: the first by rendezvous
    /// hashing over its name in another data centre, and the first of all others. The loss of one data
    /// centre leaves one of them.
    pub(crate) fn usage_replicas(&self, own: &str, centre: &str) -> Vec<SocketAddr> {
        let mut ranked: Vec<(u64, &GatewayFact, SocketAddr)> = self
            .gateways
            .iter()
            .filter(|(name, fact)| &***name != own && fact.gone_at.is_none())
            .filter_map(|(name, fact)| {
                let order = xxh3_64_with_seed(name.as_bytes(), xxh3_64(own.as_bytes()));
                Some((order, fact, fact.entry.gossip?))
            })
            .collect();
        ranked.sort_unstable_by_key(|(order, ..)| *order);
        let is_far = |(_, fact, _): &(u64, &GatewayFact, SocketAddr)| *fact.entry.centre != *centre;
        if let Some(far) = ranked.iter().position(is_far) {
            ranked[..=far].rotate_right(1);
        }
        let addresses = ranked.into_iter().map(|(_, _, address)| address);
        addresses.take(USAGE_REPLICAS).collect()
    }

    /// Returns the addresses at which live gateways receive gossip.
    pub(crate) fn gossip_addresses(&self, own: &str) -> Vec<SocketAddr> {
        self.gateways
            .iter()
            .filter(|(name, fact)| &***name != own && fact.gone_at.is_none())
            .filter_map(|(_, fact)| fact.entry.gossip)
            .collect()
    }

    /// Returns the data centres of the other live gateways.
    pub(crate) fn other_centres(&self, own: &str) -> FastSet<Arc<str>> {
        self.gateways
            .iter()
            .filter(|(name, fact)| &***name != own && fact.gone_at.is_none())
            .map(|(_, fact)| Arc::clone(&fact.entry.centre))
            .collect()
    }

    /// Returns the live gateways that take relayed requests.
    pub(crate) fn relay_targets(&self, own: &str) -> impl Iterator<Item = RelayTarget> {
        self.gateways
            .iter()
            .filter(move |(name, fact)| &***name != own && fact.gone_at.is_none())
            .filter_map(|(name, fact)| {
                Some(RelayTarget {
                    name: Arc::clone(name),
                    frontend: fact.entry.frontend?,
                })
            })
    }

    /// Returns the gossip addresses of the live gateways that keep the origin of a stream: the first
    /// ones by rendezvous hashing, in one data centre and in all.
    pub(crate) fn origin_replicas(
        &self,
        stream: StreamId,
        counts: ReplicaCounts,
        own: &str,
        centre: &str,
    ) -> Vec<SocketAddr> {
        let mut ranked: Vec<(u64, &GatewayFact, SocketAddr)> = self
            .gateways
            .iter()
            .filter(|(name, fact)| &***name != own && fact.gone_at.is_none())
            .filter_map(|(name, fact)| {
                let order = xxh3_64_with_seed(name.as_bytes(), stream.0);
                Some((order, fact, fact.entry.gossip?))
            })
            .collect();
        ranked.sort_unstable_by_key(|(order, ..)| *order);
        let mut replicas = Vec::with_capacity(counts.near + counts.any);
        let mut near_left = counts.near;
        for (rank, (_, fact, address)) in ranked.into_iter().enumerate() {
            let is_near = &*fact.entry.centre == centre && near_left > 0;
            if is_near {
                near_left -= 1;
            }
            if is_near || rank < counts.any {
                replicas.push(address);
            }
        }
        replicas
    }

    /// Returns the gateways that collect the origins of streams: the first live ones by rendezvous hashing.
    pub(crate) fn origin_collectors(&self, own: &str) -> OriginCollectors {
        let order = |name: &str| xxh3_64_with_seed(name.as_bytes(), COLLECTOR_KEY);
        let mut ranked: Vec<(u64, Option<SocketAddr>)> = self
            .gateways
            .iter()
            .filter(|(name, fact)| &***name != own && fact.gone_at.is_none())
            .filter_map(|(name, fact)| Some((order(name), Some(fact.entry.gossip?))))
            .collect();
        ranked.push((order(own), None));
        ranked.sort_unstable_by_key(|(order, _)| *order);
        ranked.truncate(ORIGIN_COLLECTORS);
        OriginCollectors {
            has_own: ranked.iter().any(|(_, address)| address.is_none()),
            others: ranked
                .into_iter()
                .filter_map(|(_, address)| address)
                .collect(),
        }
    }

    /// Returns how many live gateways come before a gateway by rendezvous hashing over a key.
    pub(crate) fn gateway_rank(&self, own: &str, key: u64) -> usize {
        let order = |name: &str| xxh3_64_with_seed(name.as_bytes(), key);
        let own_order = order(own);
        self.gateways
            .iter()
            .filter(|(_, fact)| fact.gone_at.is_none())
            .filter(|(name, _)| order(name) < own_order)
            .count()
    }

    /// Returns the owners of a backend server's slots, the first one first.
    pub(crate) fn slot_owners(&self, own: &str, backend: u64) -> [Option<SlotOwner>; 2] {
        let is_candidate = |fact: &GatewayFact| {
            fact.gone_at.is_none() && fact.entry.leases_slots && fact.entry.gossip.is_some()
        };
        let candidates = self
            .gateways
            .iter()
            .filter(|(_, fact)| is_candidate(fact))
            .map(|(name, fact)| OwnerCandidate {
                name,
                capacity: fact.entry.capacity,
            });
        slot_owners(candidates, backend).map(|name| {
            let name = name?;
            if name == own {
                return Some(SlotOwner::Own);
            }
            let address = self.gateways.get(name)?.entry.gossip?;
            Some(SlotOwner::Other(address))
        })
    }

    /// Returns the facts about gateways that are newer than a version of the store, tombstones included.
    pub(super) fn gateway_facts(&self, after: StoreVersion) -> impl Iterator<Item = KnownFact> {
        let is_newer = move |fact: &&GatewayFact| fact.version > after;
        let newer = self.gateways.iter().filter(move |(_, fact)| is_newer(fact));
        newer.map(|(name, fact)| KnownFact {
            item: StoreItem {
                subject: StoreSubject::Gateway(Arc::clone(name)),
                revision: fact.version.revision,
                value: fact.gone_at.is_none().then(|| fact.value.clone()),
            },
            era: fact.version.era,
            mode: RemovalMode::Gone,
            packed: None,
        })
    }

    /// Gives up gateways that have not announced themselves again, and drops the addresses of those
    /// that were removed long ago.
    pub(super) fn prune_gateways(&mut self, now: MonoTime) {
        for fact in self.gateways.values_mut() {
            let is_gone = fact
                .unlisted_at
                .is_some_and(|unlisted| now.since(unlisted) >= UNLISTED_GATEWAY_RETENTION);
            if is_gone && fact.gone_at.is_none() {
                fact.gone_at = Some(now);
            }
        }
        self.gateways.retain(|_, fact| {
            fact.gone_at
                .is_none_or(|gone| now.since(gone) < GONE_GATEWAY_RETENTION)
        });
    }
}
