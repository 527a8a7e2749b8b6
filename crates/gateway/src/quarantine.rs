//! Keeps requests, and parts of prompts, that crash backend servers from being sent.
//!
//! A send that breaks off raises the question whether its backend server has crashed. A new connection to
//! it, which only a server that is gone refuses, answers that. The request becomes a suspect, and if no
//! event of its answer had come, the shared parts of its prompt do as well
//! (`oleander_balance::SuspectTable`). Gateways share what they learn of suspects at once, each with a
//! few others that pass it on, and repeat it with their periodic news, so that a gateway that starts later
//! learns of it too (docs/PLATFORM.md, "Requests that crash backend servers").

use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oleander_balance::{
    BackendCrash, BackendKey, ServiceId, SuspectId, SuspectNews, SuspectRecord, SuspectSet,
    SuspectTable, SuspectVerdict,
};
use oleander_base::{FastMap, monotonic_now};
use serde::Serialize;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use crate::core::GatewayCore;
use crate::exchange::connect_backend;
use crate::gossip::pick_targets;
use crate::peer_message::{MAX_RECORD_BYTES, PeerMessage};
use crate::prelude::*;

/// How long news of suspects is collected before it is sent.
const NEWS_DELAY: Span = Span::from_millis(10);

/// The number of gateways that news of suspects is sent to at once.
const NEWS_FANOUT: usize = 3;

/// How long changes of suspects are repeated with the periodic news.
const REPEAT_TIME: Span = Span::from_secs(5);

#[derive(Debug, Serialize)]
struct CrashFields<'a> {
    backend: &'a str,
    /// The suspects among its requests and their parts that are new.
    suspects: Vec<String>,
}

#[derive(Debug, Serialize)]
struct SuspectFields {
    #[serde(flatten)]
    name: SuspectName,
    crashes: usize,
}

/// A suspect as log lines name it.
#[derive(Debug, Serialize)]
pub(crate) struct SuspectName {
    #[serde(skip_serializing_if = "Option::is_none")]
    part: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    digest: Option<String>,
}

impl SuspectName {
    pub(crate) fn of(id: SuspectId) -> Self {
        let (part, digest) = match id {
            SuspectId::Part { part, .. } => (Some(part.to_string()), None),
            SuspectId::Request(digest) => (None, Some(digest.to_string())),
        };
        Self { part, digest }
    }
}

/// A send to a backend server that broke off.
#[derive(Debug)]
struct BrokenSend {
    suspects: Vec<SuspectId>,
    sent_at: MonoTime,
    broken_at: MonoTime,
}

/// The number of quarantined suspects.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QuarantineCounts {
    pub(crate) parts: usize,
    pub(crate) requests: usize,
}

/// This gateway's table of suspects, and the exchange of it with others.
#[derive(Debug)]
pub(crate) struct CrashQuarantine {
    table: RefCell<SuspectTable>,
    /// The broken sends to each backend server of which it is not known yet whether it has crashed.
    unchecked: RefCell<FastMap<BackendKey, Vec<BrokenSend>>>,
    news: RefCell<SuspectNews>,
    has_news: Notify,
}

impl CrashQuarantine {
    /// Creates the empty table of the gateway with this name.
    pub(crate) fn new(gateway: &str) -> Self {
        Self {
            table: RefCell::new(SuspectTable::new(xxh3_64(gateway.as_bytes()))),
            unchecked: RefCell::default(),
            news: RefCell::default(),
            has_news: Notify::new(),
        }
    }

    /// Returns whether a request may be sent.
    pub(crate) fn check(&self, core: &GatewayCore, suspects: &SuspectSet) -> SuspectVerdict {
        if self.table.borrow().is_empty() {
            return SuspectVerdict::Sound;
        }
        self.refresh(core);
        let table = self.table.borrow();
        table.check(suspects.all(), monotonic_now())
    }

    /// Claims the probe of some suspects, and tells all other gateways at once.
    pub(crate) fn claim(&self, core: &GatewayCore, ids: &[SuspectId]) {
        self.table.borrow_mut().claim(ids, monotonic_now());
        let own = &core.settings().name;
        let others = core.view.borrow().gossip_addresses(own);
        self.send(core, ids, &others);
    }

    /// Returns whether the probe of some suspects is still this gateway's to send, and logs it if so.
    pub(crate) fn takes_probe(&self, core: &GatewayCore, ids: &[SuspectId]) -> bool {
        let holds_claim = self.table.borrow().holds_claim(ids, monotonic_now());
        for id in ids.iter().filter(|_| holds_claim) {
            let fields = SuspectFields {
                name: SuspectName::of(*id),
                crashes: self.table.borrow().crashes_in_quarantine(*id),
            };
            core.log.change("suspect-probed", fields);
            core.metrics.record_quarantine("probed");
        }
        holds_claim
    }

    /// Notes that an answer of a service began, or is complete, which clears `ids`.
    pub(crate) fn on_answer(&self, core: &GatewayCore, service: ServiceId, ids: &[SuspectId]) {
        self.clear_unchecked(ids);
        let quarantined = self.quarantined_among(ids);
        let mut table = self.table.borrow_mut();
        let cleared = table.record_answer(service, ids, monotonic_now());
        drop(table);
        self.log_released(core, &quarantined);
        self.tell(&cleared);
    }

    /// Clears suspects while it is not known yet whether their backend server has crashed.
    fn clear_unchecked(&self, ids: &[SuspectId]) {
        for send in self.unchecked.borrow_mut().values_mut().flatten() {
            send.suspects.retain(|id| !ids.contains(id));
        }
    }

    /// Notes that a send broke off, and finds out whether the backend server has crashed.
    pub(crate) fn on_broken(
        &self,
        core: &Rc<GatewayCore>,
        key: BackendKey,
        suspects: &[SuspectId],
        sent_at: MonoTime,
    ) {
        let mut unchecked = self.unchecked.borrow_mut();
        let is_running = unchecked.contains_key(&key);
        unchecked.entry(key).or_default().push(BrokenSend {
            suspects: suspects.to_vec(),
            sent_at,
            broken_at: monotonic_now(),
        });
        if !is_running {
            spawn_local(check_backend(Rc::clone(core), key));
        }
    }

    /// Takes over what another gateway knows.
    pub(crate) fn on_records(&self, core: &GatewayCore, records: &[SuspectRecord]) {
        let now = monotonic_now();
        for record in records {
            let ids = [record.id];
            let before = self.quarantined_among(&ids);
            if self.table.borrow_mut().merge(record, now) {
                self.tell(&ids);
            }
            match before.is_empty() {
                true => self.log_quarantined(core, &self.quarantined_among(&ids)),
                false => self.log_released(core, &before),
            }
        }
    }

    /// Repeats what matters most, as much as one datagram holds, for gateways that have missed it.
    pub(crate) fn send_round(&self, core: &GatewayCore, targets: &[SocketAddr]) {
        if self.table.borrow().is_empty() {
            return;
        }
        self.refresh(core);
        let recent = self.table.borrow().recent(REPEAT_TIME, monotonic_now());
        if let Some(records) = self.datagrams(&recent).into_iter().next() {
            core.peers.send(PeerMessage::Suspects(records), targets);
        }
    }

    /// Tells a few other gateways what has changed, as fast as that is allowed.
    async fn send_news(&self, core: &GatewayCore) {
        loop {
            let time_left = self.news.borrow().time_left(monotonic_now());
            let Some(time_left) = time_left else {
                return;
            };
            sleep(Duration::from(time_left)).await;
            let table = self.table.borrow();
            let mut news = self.news.borrow_mut();
            let records = news.take(&table, MAX_RECORD_BYTES, monotonic_now());
            drop((table, news));
            if !records.is_empty() {
                let targets = pick_targets(core, NEWS_FANOUT);
                core.peers.send(PeerMessage::Suspects(records), &targets);
            }
        }
    }

    /// Drops what is too old to matter.
    pub(crate) fn prune(&self, core: &GatewayCore) {
        let dropped = self.table.borrow_mut().prune(monotonic_now());
        self.log_released(core, &dropped);
    }

    /// Returns the number of quarantined suspects.
    pub(crate) fn counts(&self) -> QuarantineCounts {
        let table = self.table.borrow();
        let (requests, parts): (Vec<_>, Vec<_>) =
            table.quarantined().partition(|id| id.is_request());
        QuarantineCounts {
            parts: parts.len(),
            requests: requests.len(),
        }
    }

    fn refresh(&self, core: &GatewayCore) {
        let change = self.table.borrow_mut().refresh(monotonic_now());
        self.log_quarantined(core, &change.quarantined);
        self.log_released(core, &change.released);
        self.tell(&change.quarantined);
    }

    fn record_crash(&self, core: &GatewayCore, key: BackendKey, sends: &[BrokenSend]) {
        let fleet = core.fleet.borrow();
        let Some(member) = fleet.get(key) else {
            return;
        };
        let mut table = self.table.borrow_mut();
        let mut changed = Vec::new();
        for send in sends {
            let crash = BackendCrash {
                service: ServiceId::of(&member.entry.service),
                backend: member.incarnation,
                sent_at: send.sent_at,
                at: send.broken_at,
            };
            changed.extend(table.record_crash(&send.suspects, crash, monotonic_now()));
        }
        drop(table);
        let fields = CrashFields {
            backend: &member.entry.id,
            suspects: changed.iter().map(SuspectId::to_string).collect(),
        };
        core.log.change("backend-crashed", fields);
        core.metrics.record_quarantine("crash");
        self.tell(&changed);
    }

    fn quarantined_among(&self, ids: &[SuspectId]) -> Vec<SuspectId> {
        let table = self.table.borrow();
        let quarantined = ids
            .iter()
            .filter(|id| table.crashes_in_quarantine(**id) > 0);
        quarantined.copied().collect()
    }

    fn log_quarantined(&self, core: &GatewayCore, ids: &[SuspectId]) {
        for id in ids {
            let fields = SuspectFields {
                name: SuspectName::of(*id),
                crashes: self.table.borrow().crashes_in_quarantine(*id),
            };
            let event = match id.is_request() {
                true => "request-quarantined",
                false => "part-quarantined",
            };
            core.log.change(event, fields);
            core.metrics.record_quarantine("quarantined");
        }
    }

    /// Logs the suspects that are not quarantined any longer.
    fn log_released(&self, core: &GatewayCore, quarantined: &[SuspectId]) {
        for id in quarantined {
            if self.table.borrow().crashes_in_quarantine(*id) > 0 {
                continue;
            }
            let fields = SuspectFields {
                name: SuspectName::of(*id),
                crashes: 0,
            };
            let event = match id.is_request() {
                true => "request-released",
                false => "part-released",
            };
            core.log.change(event, fields);
            core.metrics.record_quarantine("released");
        }
    }

    fn tell(&self, ids: &[SuspectId]) {
        if ids.is_empty() {
            return;
        }
        self.news.borrow_mut().add(ids);
        self.has_news.notify_one();
    }

    /// Sends what is known of some suspects, in as many datagrams as that takes.
    fn send(&self, core: &GatewayCore, ids: &[SuspectId], targets: &[SocketAddr]) {
        for records in self.datagrams(ids) {
            core.peers.send(PeerMessage::Suspects(records), targets);
        }
    }

    /// Divides the records of some suspects between datagrams.
    fn datagrams(&self, ids: &[SuspectId]) -> Vec<Vec<SuspectRecord>> {
        let now = monotonic_now();
        let table = self.table.borrow();
        let mut datagrams: Vec<Vec<SuspectRecord>> = Vec::new();
        let mut room = 0;
        for record in ids.iter().filter_map(|id| table.record(*id, now)) {
            let bytes = record.max_bytes();
            if bytes > room {
                datagrams.push(Vec::new());
                room = MAX_RECORD_BYTES;
            }
            room = room.saturating_sub(bytes);
            if let Some(datagram) = datagrams.last_mut() {
                datagram.push(record);
            }
        }
        datagrams
    }
}

/// Finds out whether a backend server has crashed, and records its suspects if it has.
async fn check_backend(core: Rc<GatewayCore>, key: BackendKey) {
    // A gateway that is cut off finds each backend server refusing connections.
    let has_crashed = refuses_connections(&core, key).await && core.reach.settle(&core).await;
    let sends = core.quarantine.unchecked.borrow_mut().remove(&key);
    if has_crashed {
        core.quarantine
            .record_crash(&core, key, &sends.unwrap_or_default());
    }
}

/// Returns whether a backend server refuses connections, as one whose process has ended does. One that
/// does not answer may be out of reach only.
async fn refuses_connections(core: &GatewayCore, key: BackendKey) -> bool {
    let Some(address) = core.backend_address(key) else {
        return false;
    };
    match connect_backend(core, address).await {
        Ok(conn) => {
            core.pool.borrow_mut().put(key, conn, None, monotonic_now());
            false
        }
        Err(error) => error.kind() == ErrorKind::ConnectionRefused,
    }
}

/// Sends news of suspects for as long as the process runs.
pub(crate) async fn run_quarantine_news(core: Rc<GatewayCore>) {
    loop {
        core.quarantine.has_news.notified().await;
        sleep(Duration::from(NEWS_DELAY)).await;
        core.quarantine.send_news(&core).await;
    }
}
