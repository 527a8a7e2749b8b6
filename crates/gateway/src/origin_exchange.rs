//! Shares between gateways which software version began each resumable stream.
//!
//! A gateway that passes on the first event of a stream records the version that wrote it, and tells
//! a few other gateways, the stream's replicas. Replicas are chosen by rendezvous hashing over the
//! stream, one in the gateway's own data centre and two anywhere, so that a gateway that gets the
//! caller's next attempt knows whom to ask without a directory, and the origin outlives the gateway
//! that began the stream. Records and queries are datagrams; a query is repeated until all replicas
//! have replied (docs/PLATFORM.md, "Software versions").

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oleander_balance::{
    OriginTable, StreamId, StreamOrigin, UnregisteredProcesses, VersionHistory, VersionId,
    VersionRecord, VersionSpan,
};
use oleander_base::{FastMap, monotonic_now};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::core::GatewayCore;
use crate::origin_query::OpenQuery;
use crate::peer_message::{OriginQuery, OriginReply, PeerMessage};
use crate::port::{StoreItem, StoreSubject};
use crate::prelude::*;
use crate::resolved_origin::{OriginSource, ResolvedOrigin};

/// How long records are collected before they are sent.
const RECORD_DELAY: Span = Span::from_millis(20);

/// The greatest number of records in one datagram.
pub(crate) const MAX_RECORDS: usize = 60;

/// The time between two sends of a query.
const QUERY_INTERVAL: Span = Span::from_millis(50);

/// How many times the record of a stream without a certain version is sent. It takes back one with a version, or the
/// inference from the only version of the service, so that its loss would not be noticed.
const DOUBTFUL_SENDS: u32 = 3;

/// The replicas that are told of a stream.
pub(crate) const TOLD_REPLICAS: ReplicaCounts = ReplicaCounts { near: 1, any: 2 };

/// The replicas that are asked. A gateway leaves itself out of the ranking, so that ranks differ by
/// one between gateways.
const ASKED_REPLICAS: ReplicaCounts = ReplicaCounts { near: 2, any: 3 };

/// How many gateways keep a stream's origin.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReplicaCounts {
    /// In the own data centre.
    pub(crate) near: usize,
    /// In any data centre.
    pub(crate) any: usize,
}

/// A record that replicas are to be told.
#[derive(Debug, Clone, Copy)]
struct UnsentRecord {
    record: StreamOrigin,
    sends_left: u32,
}

/// A record of software versions that should take the place of another one.
#[derive(Debug)]
pub(crate) struct RecordChange {
    pub(crate) record: VersionRecord,
    /// The revision of the one that it replaces; revision 0 means that there is none.
    pub(crate) replaces: Revision,
}

/// The record of software versions that this gateway's history has taken over.
#[derive(Debug, Default)]
struct AdoptedRecord {
    at: StoreVersion,
    record: VersionRecord,
}

/// The origins that this gateway knows, and its exchange of them with other gateways.
#[derive(Debug, Default)]
pub(crate) struct OriginExchange {
    table: RefCell<OriginTable>,
    history: RefCell<VersionHistory>,
    unregistered: RefCell<UnregisteredProcesses>,
    adopted: RefCell<AdoptedRecord>,
    record_outdated: Notify,
    unsent: RefCell<Vec<UnsentRecord>>,
    has_unsent: Notify,
    has_urgent: Notify,
    queries: RefCell<FastMap<u64, Rc<OpenQuery>>>,
}

impl OriginExchange {
    /// Records which version began a stream, and tells the stream's replicas.
    pub(crate) fn record(&self, stream: StreamId, version: VersionId) {
        let now = monotonic_now();
        self.table.borrow_mut().record(stream, version, now);
        let is_doubtful = version == VersionId::UNCERTAIN;
        let sends_left = if is_doubtful { DOUBTFUL_SENDS } else { 1 };
        self.unsent.borrow_mut().push(UnsentRecord {
            record: StreamOrigin { stream, version },
            sends_left,
        });
        self.has_unsent.notify_one();
        if is_doubtful {
            self.has_urgent.notify_one();
        }
    }

    /// Takes over what another gateway recorded.
    pub(crate) fn on_records(&self, records: &[StreamOrigin]) {
        let now = monotonic_now();
        let mut table = self.table.borrow_mut();
        for record in records {
            table.record(record.stream, record.version, now);
        }
    }

    /// Answers a query of another gateway.
    pub(crate) fn reply(&self, core: &GatewayCore, query: &OriginQuery) -> OriginReply {
        OriginReply {
            nonce: query.nonce,
            origin: self.table.borrow().get(query.stream, monotonic_now()),
            versions: self.versions(core, &query.service),
        }
    }

    /// Takes over the reply of a replica. A reply to a query that has ended is dropped.
    pub(crate) fn on_reply(&self, reply: &OriginReply, from: SocketAddr) {
        let queries = self.queries.borrow();
        let Some(query) = queries.get(&reply.nonce) else {
            return;
        };
        if !query.replied.borrow_mut().insert(from) {
            return;
        }
        if let Some(version) = reply.origin {
            query.add_origin(version);
        }
        query.versions.borrow_mut().push(reply.versions);
        query.changed.notify_one();
    }

    /// Observes the versions in the registry and in the record.
    pub(crate) fn observe(&self, core: &GatewayCore) {
        let now = monotonic_now();
        self.adopt_record(core, now);
        self.unregistered
            .borrow_mut()
            .observe(&core.fleet.borrow(), now);
        if !is_current(core, now) {
            return;
        }
        let mut history = self.history.borrow_mut();
        for (_, member) in core.fleet.borrow().members() {
            history.observe(&member.entry.service, member.version, now);
        }
        history.prune(now);
        let adopted = self.adopted.borrow();
        if history.next_record(&adopted.record, now).is_some() {
            self.record_outdated.notify_one();
        }
    }

    /// Notes the versions of all backend servers that are known, and of those in changes of the registry that the view
    /// may not have yet.
    pub(crate) fn observe_changes(&self, core: &GatewayCore, changes: &[StoreItem]) {
        let now = monotonic_now();
        let mut history = self.history.borrow_mut();
        for (_, member) in core.fleet.borrow().members() {
            history.observe(&member.entry.service, member.version, now);
        }
        for change in changes {
            let (StoreSubject::Backend(id), Some(value)) = (&change.subject, &change.value) else {
                continue;
            };
            // The view tells of an entry that cannot be decoded. It names no backend server to use.
            if let Ok(entry) = core.port.decode_backend(id, value) {
                let version = VersionId::of(&entry.backend.software);
                history.observe(&entry.backend.service, version, now);
            }
        }
    }

    /// Takes over the record of versions, if it has changed.
    fn adopt_record(&self, core: &GatewayCore, now: MonoTime) {
        let view = core.view.borrow();
        let at = view.version_record_at();
        let mut adopted = self.adopted.borrow_mut();
        if at == adopted.at {
            return;
        }
        let record = view.version_record().clone();
        let mut history = self.history.borrow_mut();
        let is_first = adopted.at == StoreVersion::default();
        if is_first && view.is_version_record_spoiled() {
            history.distrust_past(now);
        }
        history.adopt(&record, &adopted.record, now);
        drop(history);
        *adopted = AdoptedRecord { at, record };
    }

    /// Waits until the record of versions may be out of date.
    pub(crate) async fn record_outdated(&self) {
        self.record_outdated.notified().await;
    }

    /// Returns the change that would bring the record of versions up to date, if it is not and this gateway knows
    /// the present registry.
    pub(crate) fn record_change(&self, core: &GatewayCore) -> Option<RecordChange> {
        let now = monotonic_now();
        let view = core.view.borrow();
        if !is_current(core, now) || view.version.era != core.store_era() {
            return None;
        }
        let known = view.version_record();
        let record = self.history.borrow().next_record(known, now)?;
        Some(RecordChange {
            record,
            replaces: view.version_record_revision(),
        })
    }

    /// Returns what this gateway knows of a service's versions. Without recent contact with the store
    /// there may be another version that it does not know of. A process that no entry describes was met, whether or not
    /// the store is there.
    fn versions(&self, core: &GatewayCore, service: &str) -> VersionSpan {
        match self.seen_versions(core, service) {
            VersionSpan::Single(_) if !is_current(core, monotonic_now()) => VersionSpan::Unknown,
            span => span,
        }
    }

    /// Returns the versions of a service that this gateway has seen, however old its view is.
    fn seen_versions(&self, core: &GatewayCore, service: &str) -> VersionSpan {
        let now = monotonic_now();
        let is_met = core.fleet.borrow().has_unregistered_process(service);
        if is_met || self.unregistered.borrow().has_gone(service, now) {
            return VersionSpan::Mixed;
        }
        self.history.borrow().span(service, now)
    }

    /// Returns whether a service has had several versions in the time that a stream can last.
    pub(crate) fn is_mixed(&self, service: &str) -> bool {
        let history = self.history.borrow();
        history.span(service, monotonic_now()) == VersionSpan::Mixed
    }

    /// Returns whether any service has had several versions in the time that a stream can last.
    pub(crate) fn is_any_mixed(&self) -> bool {
        self.history.borrow().is_any_mixed(monotonic_now())
    }

    /// Finds the version that began a stream.
    pub(crate) async fn resolve(
        &self,
        core: &GatewayCore,
        stream: Option<StreamId>,
        service: &str,
    ) -> ResolvedOrigin {
        let now = monotonic_now();
        let own = stream.and_then(|stream| self.table.borrow().get(stream, now));
        if let Some(version) = own {
            return ResolvedOrigin::known(version, OriginSource::Own);
        }
        let Some(stream) = stream else {
            return self.infer(core, service, Vec::new(), now).await;
        };
        let replicas = core.origin_replicas(stream, ASKED_REPLICAS);
        let query = self.ask(core, stream, service, &replicas).await;
        if let Some(version) = self.table.borrow().get(stream, monotonic_now()) {
            // The record came here meanwhile.
            query.add_origin(version);
        }
        let mut found = match query.origin.get() {
            Some(version) => ResolvedOrigin::known(version, OriginSource::Replica),
            None => {
                let spans = query.versions.take();
                self.infer(core, service, spans, now).await
            }
        };
        if query.origin.get().is_none()
            && let Some(version) = self.table.borrow().get(stream, monotonic_now())
        {
            // The record came here meanwhile.
            found = ResolvedOrigin::known(version, OriginSource::Replica);
        }
        if found.version.is_none() {
            core.origin_log.wait_loaded().await;
            let stored = self.table.borrow().get(stream, monotonic_now());
            if let Some(version) = stored {
                found = ResolvedOrigin::known(version, OriginSource::Store);
            }
        }
        ResolvedOrigin {
            asked: replicas.len(),
            replied: query.replied.borrow().len(),
            ..found
        }
    }

    /// Infers the origin of a stream that a caller resumes at a moment, from the versions that other gateways have seen and
    /// from the registry. What is known here and there may be older than the stream, so the registry's versions up to
    /// that moment have to be known.
    async fn infer(
        &self,
        core: &GatewayCore,
        service: &str,
        mut spans: Vec<VersionSpan>,
        moment: MonoTime,
    ) -> ResolvedOrigin {
        spans.push(self.seen_versions(core, service));
        if spans.contains(&VersionSpan::Mixed) {
            return ResolvedOrigin::unknown();
        }
        let limit = core.settings().view_pace().max_contact_age;
        let is_registry_known = core.registry_fence.pass(core, moment, limit).await;
        let inferred = if is_registry_known {
            spans.push(self.seen_versions(core, service));
            ResolvedOrigin::inferred(&spans)
        } else {
            ResolvedOrigin::unknown()
        };
        ResolvedOrigin {
            is_registry_known: Some(is_registry_known),
            ..inferred
        }
    }

    /// Asks replicas until all have replied or the time is over. One that has the origin does not end the query at once:
    /// another one may know that the version is not certain.
    async fn ask(
        &self,
        core: &GatewayCore,
        stream: StreamId,
        service: &str,
        replicas: &[SocketAddr],
    ) -> Rc<OpenQuery> {
        let query = Rc::new(OpenQuery::default());
        let nonce = core.random_number();
        self.queries.borrow_mut().insert(nonce, Rc::clone(&query));
        let _removal = QueryRemoval {
            exchange: self,
            nonce,
        };
        let mut sends = 0;
        while !query.is_decided(replicas) && !query.is_over(sends) {
            let message = PeerMessage::OriginQuery(OriginQuery {
                nonce,
                stream,
                service: service.to_owned(),
            });
            let replied = query.replied.borrow().clone();
            let silent = replicas
                .iter()
                .filter(|replica| !replied.contains(*replica));
            let silent: Vec<SocketAddr> = silent.copied().collect();
            core.peers.send(message, &silent);
            sends += 1;
            let decided = async {
                while !query.is_decided(replicas) {
                    query.changed.notified().await;
                }
            };
            // The loop looks again what has come in this time.
            let _ = timeout(Duration::from(QUERY_INTERVAL), decided).await;
        }
        query
    }

    /// Sends the records that are waiting, one datagram for each replica. Those that are sent again wait for the next
    /// time.
    fn flush(&self, core: &GatewayCore) {
        let unsent = self.unsent.take();
        let mut by_replica: BTreeMap<SocketAddr, Vec<StreamOrigin>> = BTreeMap::new();
        for UnsentRecord { record, sends_left } in unsent {
            if sends_left > 1 {
                self.unsent.borrow_mut().push(UnsentRecord {
                    record,
                    sends_left: sends_left - 1,
                });
                self.has_unsent.notify_one();
            }
            for replica in core.origin_replicas(record.stream, TOLD_REPLICAS) {
                by_replica.entry(replica).or_default().push(record);
            }
        }
        for (replica, records) in by_replica {
            for chunk in records.chunks(MAX_RECORDS) {
                let message = PeerMessage::Origins(chunk.to_vec());
                core.peers.send(message, &[replica]);
            }
        }
    }
}

/// Returns whether this gateway's view of the registry counts as complete.
fn is_current(core: &GatewayCore, now: MonoTime) -> bool {
    let contact = core.view.borrow().store_contact;
    let max_age = core.settings().view_pace().max_version_age;
    contact.is_some_and(|contact| now.since(contact) < max_age)
}

/// Removes a query when its asker stops waiting, however that happens.
struct QueryRemoval<'a> {
    exchange: &'a OriginExchange,
    nonce: u64,
}

impl Drop for QueryRemoval<'_> {
    fn drop(&mut self) {
        self.exchange.queries.borrow_mut().remove(&self.nonce);
    }
}

/// Sends recorded origins for as long as the process runs.
pub(crate) async fn run_origin_exchange(core: Rc<GatewayCore>) {
    loop {
        core.origins.has_unsent.notified().await;
        let urgent = core.origins.has_urgent.notified();
        // Both ends of the wait are followed by the same.
        let _ = timeout(Duration::from(RECORD_DELAY), urgent).await;
        core.origins.flush(&core);
    }
}
