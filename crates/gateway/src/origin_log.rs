//! Keeps the origins of streams in the key-value store while a service has several software versions.
//!
//! A loss of all gateways loses the origins that these know. Where a service has had a single version, none is
//! needed. Otherwise each gateway tells the origins of its streams to two collectors, the first gateways by
//! rendezvous hashing, and each collector writes what it was told at an interval, under leases that end when no
//! stream can be left. So the calls do not grow with the fleet, and there are none while each service has one
//! version. A gateway reads the origins once, when it starts (docs/PLATFORM.md, "Software versions").

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use oleander_balance::{ORIGIN_RETENTION, StreamOrigin};
use oleander_base::monotonic_now;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::core::GatewayCore;
use crate::origin_exchange::MAX_RECORDS;
use crate::peer_message::PeerMessage;
use crate::prelude::*;
use crate::store_client::{StoreClient, StoreError, StorePurpose};

/// The time between two rounds of telling and writing origins.
const ROUND_INTERVAL: Span = Span::from_millis(500);

/// How long one lease is used for writes.
const LEASE_USE: Span = Span::from_secs(30);

/// How much longer than [`ORIGIN_RETENTION`] the origins in a lease's last write stay.
const LEASE_SLACK: Span = Span::from_secs(10);

/// The time to live of a lease.
const LEASE_TTL: Span = Span(LEASE_USE.0 + ORIGIN_RETENTION.0 + LEASE_SLACK.0);

/// The timeout of one call.
const CALL_TIMEOUT: Span = Span::from_millis(1_500);

/// The greatest number of origins in one write.
const MAX_WRITTEN: usize = 8_192;

/// The greatest number of origins that wait; the oldest are dropped first.
const MAX_WAITING: usize = 50_000;

/// The longest wait of a resumed stream for the origins in the store.
const LOAD_WAIT: Span = Span::from_secs(1);

/// How long after its start a gateway tries to read the origins.
const LOAD_TIME: Span = Span::from_secs(10);

/// The pause before another try to read the origins.
const LOAD_RETRY: Span = Span::from_millis(200);

/// The time between two looks whether the view is there.
const VIEW_INTERVAL: Span = Span::from_millis(20);

#[derive(Debug, Serialize)]
struct FailedFields {
    reason: String,
}

#[derive(Debug, Serialize)]
struct LoadedFields {
    origins: usize,
}

/// The origin of a stream that this gateway passed on.
#[derive(Debug)]
struct RecentOrigin {
    service: Arc<str>,
    origin: StreamOrigin,
    at: MonoTime,
}

/// The origins that the collectors have not been told yet, and those that this gateway collects.
#[derive(Debug, Default)]
pub(crate) struct OriginLog {
    untold: RefCell<VecDeque<RecentOrigin>>,
    collected: RefCell<VecDeque<StreamOrigin>>,
    is_collector: Cell<bool>,
    is_loaded: Cell<bool>,
    loaded: Notify,
}

impl OriginLog {
    /// Notes the origin of a stream that this gateway passes on.
    pub(crate) fn note(&self, service: &Arc<str>, origin: StreamOrigin) {
        let mut untold = self.untold.borrow_mut();
        untold.push_back(RecentOrigin {
            service: Arc::clone(service),
            origin,
            at: monotonic_now(),
        });
        if untold.len() > MAX_WAITING {
            untold.pop_front();
        }
    }

    /// Takes origins that other gateways tell, if this one is a collector.
    pub(crate) fn collect(&self, origins: &[StreamOrigin]) {
        if !self.is_collector.get() {
            return;
        }
        let mut collected = self.collected.borrow_mut();
        collected.extend(origins);
        let excess = collected.len().saturating_sub(MAX_WAITING);
        collected.drain(..excess);
    }

    /// Waits a while until the origins in the store have been read.
    pub(crate) async fn wait_loaded(&self) {
        let loaded = async {
            while !self.is_loaded.get() {
                self.loaded.notified().await;
            }
        };
        // A stream whose origin does not come in time is refused like any of unknown origin.
        let _ = timeout(Duration::from(LOAD_WAIT), loaded).await;
    }

    fn set_loaded(&self) {
        self.is_loaded.set(true);
        self.loaded.notify_waiters();
    }

    /// Takes the origins of streams whose service has had several versions. The others wait, as one may come.
    fn take_untold(&self, core: &GatewayCore) -> Vec<StreamOrigin> {
        let now = monotonic_now();
        let mut told = Vec::new();
        let mut untold = self.untold.borrow_mut();
        untold.retain(|recent| {
            let is_needed = core.origins.is_mixed(&recent.service);
            if is_needed {
                told.push(recent.origin);
            }
            !is_needed && now.since(recent.at) < ORIGIN_RETENTION
        });
        told
    }

    /// Tells the collectors the origins that they need.
    fn tell(&self, core: &GatewayCore) {
        if !core.origins.is_any_mixed() {
            self.is_collector.set(false);
            return;
        }
        let origins = self.take_untold(core);
        let own = &core.settings().name;
        let collectors = core.view.borrow().origin_collectors(own);
        self.is_collector.set(collectors.has_own);
        for chunk in origins.chunks(MAX_RECORDS) {
            let message = PeerMessage::Origins(chunk.to_vec());
            core.peers.send(message, &collectors.others);
        }
        self.collect(&origins);
    }

    /// Drops the origins of streams that cannot be resumed any more.
    fn prune(&self) {
        let now = monotonic_now();
        let mut untold = self.untold.borrow_mut();
        while untold
            .front()
            .is_some_and(|recent| now.since(recent.at) >= ORIGIN_RETENTION)
        {
            untold.pop_front();
        }
    }

    /// Takes the origins of the next write, each once.
    fn take_collected(&self) -> Vec<StreamOrigin> {
        let mut collected = self.collected.borrow_mut();
        let count = collected.len().min(MAX_WRITTEN);
        let mut origins: Vec<StreamOrigin> = collected.drain(..count).collect();
        origins.sort_unstable();
        origins.dedup();
        origins
    }
}

/// A lease for writes, with the era of the store that granted it.
#[derive(Debug, Clone, Copy)]
struct WriteLease {
    id: u64,
    era: StoreEra,
    granted_at: MonoTime,
}

#[derive(Debug)]
struct LogWriter {
    core: Rc<GatewayCore>,
    client: StoreClient,
    lease: Option<WriteLease>,
    /// The start of the names of this process's keys.
    prefix: String,
    writes: u64,
}

/// Reads the origins of earlier processes, then keeps those of this fleet in the store for as long as the process
/// runs.
pub(crate) async fn run_origin_log(core: Rc<GatewayCore>) {
    let mut client = StoreClient::open(Rc::clone(&core));
    let load = load_origins(&core, &mut client);
    if timeout(Duration::from(LOAD_TIME), load).await.is_err() {
        log_failure(&core, "the origins could not be read in time".to_owned());
    }
    core.origin_log.set_loaded();
    let prefix = format!("{}-{:x}", core.settings().name, core.random_number());
    let mut writer = LogWriter {
        client,
        core,
        lease: None,
        prefix,
        writes: 0,
    };
    loop {
        sleep(Duration::from(ROUND_INTERVAL)).await;
        let log = &writer.core.origin_log;
        log.prune();
        log.tell(&writer.core);
        let origins = log.take_collected();
        if origins.is_empty() {
            // Software versions seldom stand side by side, so no connection is kept meanwhile.
            writer.client.close();
            continue;
        }
        if let Err(error) = writer.write(&origins).await {
            log_failure(&writer.core, error.to_string());
            writer.core.origin_log.collect(&origins);
        }
    }
}

fn log_failure(core: &GatewayCore, reason: String) {
    core.log.change("origins-not-kept", FailedFields { reason });
}

impl LogWriter {
    async fn write(&mut self, origins: &[StreamOrigin]) -> Result<(), StoreError> {
        let lease = self.current_lease().await?;
        self.writes += 1;
        let part = format!("{}-{}", self.prefix, self.writes);
        let request = self
            .core
            .port
            .origins_write_request(&part, origins, lease.id);
        let call = self
            .client
            .call(StorePurpose::OriginsWrite, &request, CALL_TIMEOUT);
        let written = call.await;
        if written
            .as_ref()
            .map_or(true, |reply| reply.era != lease.era)
        {
            self.lease = None;
        }
        written.map(|_| ())
    }

    /// Returns a lease that outlasts the streams whose origins are written now.
    async fn current_lease(&mut self) -> Result<WriteLease, StoreError> {
        let now = monotonic_now();
        let is_current = |lease: &WriteLease| {
            now.since(lease.granted_at) < LEASE_USE && lease.era == self.core.store_era()
        };
        if let Some(lease) = self.lease.filter(is_current) {
            return Ok(lease);
        }
        let request = self.core.port.lease_request(LEASE_TTL);
        let call = self
            .client
            .call(StorePurpose::Grant, &request, CALL_TIMEOUT);
        let granted = call.await?;
        let id = self.core.port.decode_lease(&granted.body);
        let lease = WriteLease {
            id: id.map_err(|error| StoreError::Answer(error.to_string()))?,
            era: granted.era,
            granted_at: now,
        };
        self.lease = Some(lease);
        Ok(lease)
    }
}

/// Reads the origins of earlier processes, if any service has had several versions.
async fn load_origins(core: &GatewayCore, client: &mut StoreClient) {
    while core.view.borrow().version == StoreVersion::default() {
        sleep(Duration::from(VIEW_INTERVAL)).await;
    }
    while core.origins.is_any_mixed() {
        match read_origins(core, client).await {
            Ok(origins) => {
                core.origins.on_records(&origins);
                let origins = origins.len();
                core.log.change("origins-read", LoadedFields { origins });
                return;
            }
            Err(error) => log_failure(core, error.to_string()),
        }
        sleep(Duration::from(LOAD_RETRY)).await;
    }
}

async fn read_origins(
    core: &GatewayCore,
    client: &mut StoreClient,
) -> Result<Vec<StreamOrigin>, StoreError> {
    let mut origins = Vec::new();
    let mut after: Option<String> = None;
    loop {
        let request = core.port.origins_list_request(after.as_deref());
        let call = client.call(StorePurpose::OriginsList, &request, CALL_TIMEOUT);
        let reply = call.await?;
        let page = core.port.decode_origins_page(&reply.body);
        let page = page.map_err(|error| StoreError::Answer(error.to_string()))?;
        origins.extend(page.origins);
        match page.next_after {
            Some(key) => after = Some(key),
            None => return Ok(origins),
        }
    }
}
