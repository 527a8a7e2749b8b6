//! The gateways that this gateway queries for facts, and how they have answered lately.

use std::net::SocketAddr;

use oleander_balance::{TreeMember, passing_capacity};
use oleander_base::monotonic_now;
use serde::Serialize;

use crate::core::GatewayCore;
use crate::peer_facts::{AppliedFacts, FactsClient, FactsError};
use crate::prelude::*;

/// How long a gateway that did not answer is not queried again; each further failure in a row doubles it.
const FAILED_BACKOFF: Span = Span::from_millis(1_000);

/// How many times that backoff doubles.
const MAX_DOUBLINGS: u32 = 4;

/// How long a gateway without recent contact with the store is not queried again.
const STALE_BACKOFF: Span = Span::from_millis(700);

#[derive(Debug, Serialize)]
struct SourceLostFields {
    gateway: SocketAddr,
    reason: String,
    revision: u64,
}

/// One gateway that is queried for facts.
#[derive(Debug)]
struct FactSource {
    address: SocketAddr,
    client: FactsClient,
    /// The number of queries in a row that failed.
    failures: u32,
    /// The time before which it is not queried again.
    retry_at: MonoTime,
}

impl FactSource {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: FactsClient::default(),
            failures: 0,
            retry_at: MonoTime::default(),
        }
    }

    async fn query(&mut self, core: &GatewayCore) -> Result<AppliedFacts, FactsError> {
        // Only one that has answered may hold a query: the way round one that does not answer has to
        // be short.
        let hold = match self.failures {
            0 => core.settings().view_pace().query_hold,
            _ => Span::ZERO,
        };
        let queried = self.client.query(core, self.address, hold).await;
        match &queried {
            Ok(_) => self.failures = 0,
            Err(error) => self.on_failure(core, error),
        }
        queried
    }

    fn on_failure(&mut self, core: &GatewayCore, error: &FactsError) {
        let backoff = match error {
            FactsError::Stale(_) => STALE_BACKOFF,
            _ => Span(FAILED_BACKOFF.0 << self.failures.min(MAX_DOUBLINGS)),
        };
        self.failures += 1;
        self.retry_at = monotonic_now() + backoff;
        let fields = SourceLostFields {
            gateway: self.address,
            reason: error.to_string(),
            revision: core.view.borrow().version.revision.0,
        };
        core.log.change("reader-lost", fields);
    }
}

/// The gateways that this one queries, in order.
#[derive(Debug, Default)]
pub(crate) struct FactSources {
    sources: Vec<FactSource>,
}

impl FactSources {
    /// Queries the first gateway that is not known to fail; returns `None` if none has recent facts.
    pub(crate) async fn query(&mut self, core: &GatewayCore) -> Option<AppliedFacts> {
        self.update(core);
        for source in &mut self.sources {
            if monotonic_now() < source.retry_at {
                continue;
            }
            if let Ok(applied) = source.query(core).await {
                return Some(applied);
            }
        }
        None
    }

    /// Returns whether this gateway is the one that reads the store.
    pub(crate) fn is_reader(&self) -> bool {
        self.sources.is_empty()
    }

    /// Takes over the sources that follow from the live gateways.
    fn update(&mut self, core: &GatewayCore) {
        let settings = core.settings();
        let own = TreeMember {
            name: &settings.name,
            centre: &settings.centre,
            capacity: passing_capacity(settings.cores, settings.link_mbps),
        };
        let addresses = core.view.borrow().fact_sources(own);
        let mut known = std::mem::take(&mut self.sources);
        for address in addresses {
            let found = known.iter().position(|source| source.address == address);
            let source = match found {
                Some(index) => known.swap_remove(index),
                None => FactSource::new(address),
            };
            self.sources.push(source);
        }
    }
}
